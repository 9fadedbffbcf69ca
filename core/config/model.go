package config

import (
	"net/netip"
	"time"
)

// Config is a validated configuration.
type Config struct {
	Revision   uint64
	Deployment Deployment
	Policies   Policies
	Planner    Planner
	Zones      []Zone
	Services   []Service
	Pools      []Pool
	Instances  []Instance
	Teams      []Team
	Leaves     []Leave
}

// Deployment holds the deployment's name and the times that all entries share.
type Deployment struct {
	Name             string
	LeaseDuration    time.Duration
	HeartbeatPeriod  time.Duration
	ClockError       time.Duration
	ListLag          time.Duration
	IdempotencyRetry time.Duration
	GoneEntries      []string // incarnations that an operator has declared ended
}

// Policies holds the name of the plug-in for each pluggable policy.
type Policies struct {
	Admission string
	Routing   string
	Sharing   string
	Planner   string
}

// Planner holds the planner's cost weights and limits.
type Planner struct {
	MovesWeight    int
	BufferWeight   int
	RollOutWeight  int
	FreezeFailures int
	FreezePeriod   time.Duration
	ReplaceAfter   time.Duration
	WaveInstances  int
	ReturnSpares   bool
}

// Zone is one availability zone.
type Zone struct {
	Name   string
	Region string
}

// Service is a destination that callers name in a request; exactly one pool serves it.
type Service struct {
	Name           string
	Deadline       time.Duration
	QueueLimit     int
	UrgentShare    int // percent of admissions for which urgent requests take precedence
	RetryShare     int // percent of first attempts
	SilenceTimeout time.Duration
	CallerTimeout  time.Duration `json:",omitempty"` // in which a caller must send a part of its body or take a part of its answer
}

// Budget limits how many instances of a pool may be unavailable at once: Percent of them if it is above zero, else Count.
type Budget struct {
	Count   int
	Percent int
}

// Limit returns how many instances of a pool of the given size may be unavailable at once.
func (b Budget) Limit(size int) int {
	if b.Percent > 0 {
		return size * b.Percent / 100
	}
	return b.Count
}

// Pool is a set of instances that share one availability budget.
type Pool struct {
	Name    string
	Service string
	Budget  Budget
	Spare   bool
}

// Instance is a worker that belongs to one pool.
type Instance struct {
	Name        string
	Address     netip.AddrPort
	Zone        string
	Rack        string
	Pool        string
	Slots       int
	Connections int
}

// Team is a group of callers that share a quota.
type Team struct {
	Name  string
	Quota int // percent of a service's slots
}

// Leave lists instances and racks to take out of service.
type Leave struct {
	Name      string
	Instances []string
	Racks     []string // zone/rack
	Return    bool     // maintenance: the instances return to their pools afterwards
}

// FindPool returns the pool with the given name.
func (c *Config) FindPool(name string) (Pool, bool) {
	return find(c.Pools, func(p Pool) bool { return p.Name == name })
}

// FindService returns the service with the given name.
func (c *Config) FindService(name string) (Service, bool) {
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// FindInstance returns the instance with the given name.
func (c *Config) FindInstance(name string) (Instance, bool) {
	return find(c.Instances, func(i Instance) bool { return i.Name == name })
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, v := range items {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}
