package fleet

import (
	"net/netip"
	"slices"
	"time"

	"daisysaddle/core/config"
)

// Instance is the recorded state of one instance.
type Instance struct {
	Name          string
	Pool          string
	HomePool      string `json:"Home"`       // configured pool, as last applied by the planner
	Destination   string `json:",omitempty"` // pool that a moving instance will serve
	State         State
	DrainRevision uint64 `json:"MarkRevision,omitempty"` // zone revision from which senders send no new work
	Since         time.Time
	FinishedLeave string `json:",omitempty"` // name of the Leave section that the instance has completed
	Absent        bool   `json:",omitempty"` // whether the instance has been absent since it was returned
}

// Sender is an entry that may send work to instances of the zone.
type Sender struct {
	Name        string
	Incarnation string
	PeerAddress netip.AddrPort
}

// Allowance is a zone's share of one pool's availability budget.
type Allowance struct {
	Pool    string
	Base    int // configured share
	Granted int // Base plus received transfers minus sent ones
}

// Transfer moves one unit of allowance to another zone.
type Transfer struct {
	ID   string
	Pool string
	To   string
}

// Zone is the record of one availability zone; each change is written with one compare-and-swap.
type Zone struct {
	Name              string
	Revision          uint64
	FencingToken      uint64 `json:"Term"` // highest fencing token of a planner that wrote the record
	OperationID       string
	ConfigRevision    uint64
	SendersRevision   uint64 `json:"RingRevision"` // revision that last changed Senders
	Instances         []Instance
	Senders           []Sender
	Allowances        []Allowance
	Outgoing          []Transfer  `json:",omitempty"`
	ReceivedTransfers []string    `json:"Taken,omitempty"` // IDs of received transfers that the sending zone still lists
	AllowanceRequests []string    `json:"Wants,omitempty"` // pools for which this zone requests allowance
	Failures          []time.Time `json:",omitempty"`      // times of the latest unplanned failures
	Moves             uint64      // number of moves between pools since the record was created
}

// Clone returns a deep copy of z.
func (z Zone) Clone() Zone {
	z.Instances = slices.Clone(z.Instances)
	z.Senders = slices.Clone(z.Senders)
	z.Allowances = slices.Clone(z.Allowances)
	z.Outgoing = slices.Clone(z.Outgoing)
	z.ReceivedTransfers = slices.Clone(z.ReceivedTransfers)
	z.AllowanceRequests = slices.Clone(z.AllowanceRequests)
	z.Failures = slices.Clone(z.Failures)
	return z
}

// Find returns a pointer to the named instance, or nil if the zone has none of that name.
func (z *Zone) Find(name string) *Instance {
	for i := range z.Instances {
		if z.Instances[i].Name == name {
			return &z.Instances[i]
		}
	}
	return nil
}

// Allowance returns a pointer to the allowance of pool, adding an empty one if there is none.
func (z *Zone) Allowance(pool string) *Allowance {
	for i := range z.Allowances {
		if z.Allowances[i].Pool == pool {
			return &z.Allowances[i]
		}
	}
	z.Allowances = append(z.Allowances, Allowance{Pool: pool})
	return &z.Allowances[len(z.Allowances)-1]
}

// HasSender reports whether the entry with this name and incarnation may send work in the zone.
func (z *Zone) HasSender(name, incarnation string) bool {
	return slices.ContainsFunc(z.Senders, func(s Sender) bool { return s.Name == name && s.Incarnation == incarnation })
}

// Targets returns the configured number of instances of each pool in the zone.
func Targets(c *config.Config, zone string) map[string]int {
	targets := make(map[string]int)
	for _, i := range c.Instances {
		if i.Zone == zone {
			targets[i.Pool]++
		}
	}
	return targets
}

// TargetsByZone returns the configured number of instances by zone and pool.
func TargetsByZone(c *config.Config) map[string]map[string]int {
	targets := make(map[string]map[string]int)
	for _, z := range c.Zones {
		targets[z.Name] = make(map[string]int)
	}
	for _, i := range c.Instances {
		if zone := targets[i.Zone]; zone != nil {
			zone[i.Pool]++
		}
	}
	return targets
}

// Available returns the number of instances by pool that accept work.
func (z *Zone) Available() map[string]int {
	available := make(map[string]int)
	for _, i := range z.Instances {
		if i.State.AcceptsWork() {
			available[i.Pool]++
		}
	}
	return available
}

// SplitBudgets returns the zone's share of each pool's budget. The shares of a pool are proportional to its numbers of
// instances in the zones and add up to its budget.
func SplitBudgets(c *config.Config, zone string) map[string]int {
	counts := make(map[string]map[string]int)
	for _, i := range c.Instances {
		if counts[i.Pool] == nil {
			counts[i.Pool] = make(map[string]int)
		}
		counts[i.Pool][i.Zone]++
	}
	shares := make(map[string]int)
	sizes := c.PoolSizes()
	for _, p := range c.Pools {
		if size := sizes[p.Name]; !p.Spare && counts[p.Name][zone] > 0 {
			shares[p.Name] = largestRemainder(p.Budget.Limit(size), size, counts[p.Name])[zone]
		}
	}
	return shares
}

// largestRemainder splits budget among the zones in proportion to counts, which add up to size, by the largest-remainder method.
func largestRemainder(budget, size int, counts map[string]int) map[string]int {
	type part struct {
		zone      string
		remainder int
	}
	shares := make(map[string]int)
	var parts []part
	left := budget
	for zone, count := range counts {
		shares[zone] = budget * count / size
		left -= shares[zone]
		parts = append(parts, part{zone, budget * count % size})
	}
	slices.SortFunc(parts, func(a, b part) int {
		if a.remainder != b.remainder {
			return b.remainder - a.remainder
		}
		if a.zone < b.zone {
			return -1
		}
		return 1
	})
	for i := 0; i < left; i++ {
		shares[parts[i%len(parts)].zone]++
	}
	return shares
}
