package plan

import (
	"fmt"
	"slices"

	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
)

// updateAllowances applies changes of the configured shares: a smaller share takes effect immediately, a larger one only
// after every zone has adopted the configuration, so that the shares never add up to more than the budget.
func (s *step) updateAllowances() {
	adopted := s.allZonesAdopted()
	shares := fleet.SplitBudgets(s.view.Config, s.zone.Name)
	for _, pool := range s.view.Config.Pools {
		if pool.Spare {
			continue
		}
		share := shares[pool.Name]
		if share == 0 && !s.hasAllowance(pool.Name) {
			continue
		}
		a := s.zone.Allowance(pool.Name)
		if share < a.Base || share > a.Base && adopted {
			a.Granted += share - a.Base
			a.Base = share
		}
	}
}

func (s *step) hasAllowance(pool string) bool {
	return slices.ContainsFunc(s.zone.Allowances, func(a fleet.Allowance) bool { return a.Pool == pool })
}

func (s *step) granted(pool string) int {
	if !s.hasAllowance(pool) {
		return 0
	}
	return s.zone.Allowance(pool).Granted
}

func (s *step) allZonesAdopted() bool {
	for _, z := range s.view.Config.Zones {
		if z.Name == s.zone.Name {
			continue
		}
		if s.view.Others[z.Name].ConfigRevision < s.view.Config.Revision {
			return false
		}
	}
	return true
}

// unavailableHere returns the number of instances by which the pool is short of its configured number in this zone.
func (s *step) unavailableHere(pool string) int {
	return max(0, s.targets[pool]-s.available(pool))
}

// updateTransfers receives allowance sent to this zone and deletes transfers that their receivers have recorded.
func (s *step) updateTransfers() {
	for _, other := range s.view.Others {
		for _, t := range other.Outgoing {
			if t.To != s.zone.Name || slices.Contains(s.zone.ReceivedTransfers, t.ID) {
				continue
			}
			s.zone.Allowance(t.Pool).Granted++
			s.zone.ReceivedTransfers = append(s.zone.ReceivedTransfers, t.ID)
			s.recordEvent(event.Event{Kind: event.AllowanceTaken, Pool: t.Pool, Detail: t.ID})
		}
	}
	slices.Sort(s.zone.ReceivedTransfers)
	s.zone.ReceivedTransfers = slices.DeleteFunc(s.zone.ReceivedTransfers, s.deletedBySource)
	s.zone.Outgoing = slices.DeleteFunc(s.zone.Outgoing, func(t fleet.Transfer) bool {
		return slices.Contains(s.view.Others[t.To].ReceivedTransfers, t.ID)
	})
}

// deletedBySource reports whether the zone that sent a transfer has deleted it from its record, so that its ID need not be kept.
func (s *step) deletedBySource(id string) bool {
	for _, other := range s.view.Others {
		if slices.ContainsFunc(other.Outgoing, func(t fleet.Transfer) bool { return t.ID == id }) {
			return false
		}
	}
	return s.sourceRecordIsNewer(id)
}

// sourceRecordIsNewer reports whether the known record of the zone that sent a transfer is newer than the revision that
// added the transfer; the ID names both. Only then does the absence of the transfer from that record show that the zone
// has deleted it.
func (s *step) sourceRecordIsNewer(id string) bool {
	for _, other := range s.view.Others {
		var revision uint64
		prefix := other.Name + "/"
		if len(id) > len(prefix) && id[:len(prefix)] == prefix {
			if _, err := fmt.Sscanf(id[len(prefix):], "%d", &revision); err == nil {
				return other.Revision > revision
			}
		}
	}
	return false
}

// grantRequests transfers one unit of unused allowance of a pool to each zone that requests it and has no transfer pending.
func (s *step) grantRequests() {
	for _, z := range s.view.Config.Zones {
		other, known := s.view.Others[z.Name]
		if !known {
			continue
		}
		for _, pool := range other.AllowanceRequests {
			if slices.Contains(s.zone.AllowanceRequests, pool) || s.pendingTransfer(pool, other.Name) {
				continue
			}
			if s.granted(pool)-s.unavailableHere(pool)-s.leaveReserve(pool) <= 0 {
				continue
			}
			id := fmt.Sprintf("%s/%d/%s/%s", s.zone.Name, s.zone.Revision+1, other.Name, pool)
			s.zone.Allowance(pool).Granted--
			s.zone.Outgoing = append(s.zone.Outgoing, fleet.Transfer{ID: id, Pool: pool, To: other.Name})
			s.recordEvent(event.Event{Kind: event.AllowanceGiven, Pool: pool, Detail: id})
		}
	}
}

func (s *step) pendingTransfer(pool, to string) bool {
	return slices.ContainsFunc(s.zone.Outgoing, func(t fleet.Transfer) bool { return t.Pool == pool && t.To == to })
}

// leaveReserve returns the allowance that the zone keeps for its own next leave from the pool: 1 if a serving instance
// still has to leave, else 0.
func (s *step) leaveReserve(pool string) int {
	pending := 0
	for i := range s.zone.Instances {
		instance := &s.zone.Instances[i]
		if _, leaving := s.leaveReason(instance); leaving && instance.Pool == pool && instance.State == fleet.Serving {
			pending++
		}
	}
	return min(pending, 1)
}

func (s *step) requestAllowance(pool string) {
	if !slices.Contains(s.zone.AllowanceRequests, pool) {
		s.zone.AllowanceRequests = append(s.zone.AllowanceRequests, pool)
		slices.Sort(s.zone.AllowanceRequests)
	}
}
