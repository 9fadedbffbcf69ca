package config

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// KeyInfo documents one configuration key.
type KeyInfo struct {
	Section string
	Key     string
	Unit    string
	Default string
	Bounds  string
	Meaning string
}

// field documents one key of a section T and parses its value into T.
type field[T any] struct {
	info KeyInfo
	set  func(*T, string) error
}

// required is the Default of a key that must be given; that of an optional key without a default is "(none)".
const required = "(required)"

func stringField[T any](key, defaultValue, meaning string, ptr func(*T) *string) field[T] {
	return field[T]{
		info: KeyInfo{Key: key, Unit: "name", Default: defaultValue, Bounds: "not empty", Meaning: meaning},
		set: func(t *T, value string) error {
			if value == "" {
				return errors.New("value is empty")
			}
			*ptr(t) = value
			return nil
		},
	}
}

func countField[T any](key, unit string, defaultValue, low, high int, meaning string, ptr func(*T) *int) field[T] {
	return field[T]{
		info: KeyInfo{Key: key, Unit: unit, Default: strconv.Itoa(defaultValue), Bounds: fmt.Sprintf("%d to %d", low, high), Meaning: meaning},
		set: func(t *T, value string) error {
			n, err := strconv.Atoi(value)
			if err != nil {
				return errors.Newf("%q is not a whole number of %s", value, unit)
			}
			if n < low || n > high {
				return errors.Newf("%d is out of range: want %d to %d %s", n, low, high, unit)
			}
			*ptr(t) = n
			return nil
		},
	}
}

func percentField[T any](key string, defaultValue int, meaning string, ptr func(*T) *int) field[T] {
	return field[T]{
		info: KeyInfo{Key: key, Unit: "percent", Default: strconv.Itoa(defaultValue) + "%", Bounds: "0% to 100%", Meaning: meaning},
		set: func(t *T, value string) error {
			n, err := parsePercent(value)
			if err != nil {
				return err
			}
			*ptr(t) = n
			return nil
		},
	}
}

func durationField[T any](key string, defaultValue, low, high time.Duration, meaning string, ptr func(*T) *time.Duration) field[T] {
	return field[T]{
		info: KeyInfo{Key: key, Unit: "duration", Default: defaultValue.String(), Bounds: fmt.Sprintf("%s to %s", low, high), Meaning: meaning},
		set: func(t *T, value string) error {
			d, err := time.ParseDuration(value)
			if err != nil {
				return errors.Newf("%q is not a duration with a unit such as 500ms, 2s or 1m", value)
			}
			if d < low || d > high {
				return errors.Newf("%s is out of range: want %s to %s", d, low, high)
			}
			*ptr(t) = d
			return nil
		},
	}
}

func boolField[T any](key string, defaultValue bool, meaning string, ptr func(*T) *bool) field[T] {
	return field[T]{
		info: KeyInfo{Key: key, Unit: "yes/no", Default: map[bool]string{true: "yes", false: "no"}[defaultValue], Bounds: "yes or no", Meaning: meaning},
		set: func(t *T, value string) error {
			switch strings.ToLower(value) {
			case "yes", "true":
				*ptr(t) = true
			case "no", "false":
				*ptr(t) = false
			default:
				return errors.Newf("%q is neither yes nor no", value)
			}
			return nil
		},
	}
}

func listField[T any](key, meaning string, ptr func(*T) *[]string) field[T] {
	return field[T]{
		info: KeyInfo{Key: key, Unit: "names", Default: "(none)", Bounds: "names separated by commas", Meaning: meaning},
		set: func(t *T, value string) error {
			var names []string
			for part := range strings.SplitSeq(value, ",") {
				if part = strings.TrimSpace(part); part != "" {
					names = append(names, part)
				}
			}
			*ptr(t) = names
			return nil
		},
	}
}

func parsePercent(value string) (int, error) {
	digits, isPercent := strings.CutSuffix(value, "%")
	n, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || !isPercent {
		return 0, errors.Newf("%q is not a percentage such as 20%%", value)
	}
	if n < 0 || n > 100 {
		return 0, errors.Newf("%d%% is out of range: want 0%% to 100%%", n)
	}
	return n, nil
}

func setBudget(p *Pool, value string) error {
	if strings.HasSuffix(value, "%") {
		percent, err := parsePercent(value)
		p.Budget = Budget{Percent: percent}
		return err
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > maxInstances {
		return errors.Newf("%q is neither a count of 0 to %d instances nor a percentage", value, maxInstances)
	}
	p.Budget = Budget{Count: n}
	return nil
}

func setAddress(i *Instance, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return errors.Newf("%q is not an IP address and port such as 10.0.0.7:8080", value)
	}
	i.Address = address
	return nil
}

const (
	maxInstances = 4096
	maxSlots     = 1024
)

var deploymentFields = []field[Deployment]{
	stringField("Name", required, "name of the deployment; peers of another deployment are refused", func(d *Deployment) *string { return &d.Name }),
	durationField("LeaseDuration", 5*time.Second, time.Second, time.Minute, "how long an entry or planner lease lasts without renewal", func(d *Deployment) *time.Duration { return &d.LeaseDuration }),
	durationField("HeartbeatPeriod", 250*time.Millisecond, 50*time.Millisecond, 5*time.Second, "time between two heartbeats to each peer", func(d *Deployment) *time.Duration { return &d.HeartbeatPeriod }),
	durationField("ClockError", 500*time.Millisecond, 0, time.Minute, "largest difference between two clocks", func(d *Deployment) *time.Duration { return &d.ClockError }),
	durationField("ListLag", 30*time.Second, 0, time.Hour, "largest delay of the platform's list of instances", func(d *Deployment) *time.Duration { return &d.ListLag }),
	durationField("IdempotencyRetry", 10*time.Minute, time.Second, time.Hour, "how long the outcome of a request id is remembered", func(d *Deployment) *time.Duration { return &d.IdempotencyRetry }),
	listField("GoneEntries", "incarnations of entries that have surely ended, so that no retirement waits for them", func(d *Deployment) *[]string { return &d.GoneEntries }),
}

var policyFields = []field[Policies]{
	stringField("Admission", "FairQueue", "order in which waiting requests are admitted", func(p *Policies) *string { return &p.Admission }),
	stringField("Routing", "LeastLoaded", "choice of target for a request", func(p *Policies) *string { return &p.Routing }),
	stringField("Sharing", "Static", "division of target slots among the entries of a zone", func(p *Policies) *string { return &p.Sharing }),
	stringField("Planner", "Weighted", "order and width of retirements", func(p *Policies) *string { return &p.Planner }),
}

var plannerFields = []field[Planner]{
	countField("MovesWeight", "points", 1, 0, 100, "cost of one move", func(p *Planner) *int { return &p.MovesWeight }),
	countField("BufferWeight", "points", 1, 0, 100, "cost of one idle instance for one drain time", func(p *Planner) *int { return &p.BufferWeight }),
	countField("RollOutWeight", "points", 1, 0, 100, "cost of one drain time of delay", func(p *Planner) *int { return &p.RollOutWeight }),
	countField("FreezeFailures", "instances", 3, 1, maxInstances, "unplanned failures within FreezePeriod that stop voluntary disruption", func(p *Planner) *int { return &p.FreezeFailures }),
	durationField("FreezePeriod", time.Minute, time.Second, 24*time.Hour, "period over which unplanned failures are counted", func(p *Planner) *time.Duration { return &p.FreezePeriod }),
	durationField("ReplaceAfter", time.Minute, 0, 24*time.Hour, "how long a failed instance may take to come back before a spare replaces it", func(p *Planner) *time.Duration { return &p.ReplaceAfter }),
	countField("WaveInstances", "instances", 4, 1, maxInstances, "instances of one zone that may leave at once", func(p *Planner) *int { return &p.WaveInstances }),
	boolField("ReturnSpares", true, "give a borrowed instance back to the spare pool", func(p *Planner) *bool { return &p.ReturnSpares }),
}

var zoneFields = []field[Zone]{
	stringField("Region", required, "region of the zone", func(z *Zone) *string { return &z.Region }),
}

var serviceFields = []field[Service]{
	durationField("Deadline", 5*time.Second, time.Millisecond, time.Hour, "deadline of a request that names none", func(s *Service) *time.Duration { return &s.Deadline }),
	countField("QueueLimit", "requests", 1000, 0, 1<<20, "requests that may wait at one entry", func(s *Service) *int { return &s.QueueLimit }),
	percentField("UrgentShare", 50, "share of slots that urgent requests may take before others", func(s *Service) *int { return &s.UrgentShare }),
	percentField("RetryShare", 10, "retries allowed for each hundred first attempts", func(s *Service) *int { return &s.RetryShare }),
	durationField("SilenceTimeout", 2*time.Second, 50*time.Millisecond, time.Hour, "time without a byte after which a reused connection is suspected", func(s *Service) *time.Duration { return &s.SilenceTimeout }),
	durationField("CallerTimeout", 10*time.Second, 100*time.Millisecond, time.Hour, "time in which a caller must send 4 KB of its body or take 32 KB of its answer", func(s *Service) *time.Duration { return &s.CallerTimeout }),
}

var poolFields = []field[Pool]{
	stringField("Service", "(none)", "service that the pool serves; not for a spare pool", func(p *Pool) *string { return &p.Service }),
	{info: KeyInfo{Key: "Budget", Unit: "instances or percent", Default: "0", Bounds: "0 to 4096, or 0% to 100%", Meaning: "instances that may be unavailable at once"}, set: setBudget},
	boolField("Spare", false, "the pool lends its instances to others", func(p *Pool) *bool { return &p.Spare }),
}

var instanceFields = []field[Instance]{
	{info: KeyInfo{Key: "Address", Unit: "IP address and port", Default: required, Bounds: "unique", Meaning: "where the instance serves"}, set: setAddress},
	stringField("Zone", required, "availability zone of the instance", func(i *Instance) *string { return &i.Zone }),
	stringField("Rack", required, "rack of the instance", func(i *Instance) *string { return &i.Rack }),
	stringField("Pool", required, "pool of the instance; changing it moves the instance", func(i *Instance) *string { return &i.Pool }),
	countField("Slots", "requests", 8, 1, maxSlots, "requests the instance runs at once", func(i *Instance) *int { return &i.Slots }),
	countField("Connections", "connections", 64, 1, 1<<16, "connections the instance accepts", func(i *Instance) *int { return &i.Connections }),
}

var teamFields = []field[Team]{
	percentField("Quota", 100, "share of a service's slots the team may take while others wait", func(t *Team) *int { return &t.Quota }),
}

var leaveFields = []field[Leave]{
	listField("Instances", "instances due to leave", func(l *Leave) *[]string { return &l.Instances }),
	listField("Racks", "racks due to leave, as zone/rack", func(l *Leave) *[]string { return &l.Racks }),
	boolField("Return", false, "maintenance: the instances come back when the platform lists them as live", func(l *Leave) *bool { return &l.Return }),
}

// Keys lists every section and key with unit, default, bounds and meaning.
func Keys() []KeyInfo {
	var keys []KeyInfo
	keys = appendKeys(keys, "Deployment", deploymentFields)
	keys = appendKeys(keys, "Policies", policyFields)
	keys = appendKeys(keys, "Planner", plannerFields)
	keys = appendKeys(keys, "Zone NAME", zoneFields)
	keys = appendKeys(keys, "Service NAME", serviceFields)
	keys = appendKeys(keys, "Pool NAME", poolFields)
	keys = appendKeys(keys, "Instance NAME", instanceFields)
	keys = appendKeys(keys, "Team NAME", teamFields)
	return appendKeys(keys, "Leave NAME", leaveFields)
}

func appendKeys[T any](keys []KeyInfo, section string, fields []field[T]) []KeyInfo {
	for _, f := range fields {
		f.info.Section = section
		keys = append(keys, f.info)
	}
	return keys
}
