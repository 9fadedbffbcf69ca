package carry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func alwaysUsable(string) bool { return true }

func makeEntries(zones int, perZone int, cores, mbps float64) []Entry {
	var all []Entry
	for z := range zones {
		for i := range perZone {
			all = append(all, Entry{Incarnation: fmt.Sprintf("z%d-e%d", z, i), Zone: fmt.Sprint("z", z), Cores: cores, LinkMbps: mbps})
		}
	}
	return all
}

func TestTable(t *testing.T) {
	mixedSizes := slices.Concat(makeEntries(5, 17, 0.192, 20), []Entry{{Incarnation: "z0-large", Zone: "z0", Cores: 0.8, LinkMbps: 200}})
	cases := []struct {
		name     string
		owner    Entry
		workers  int // in each of five zones
		entries  []Entry
		carriers map[string]int // by zone
	}{
		{"an owner with the capacity for all workers uses no carriers", Entry{Cores: 0.4, LinkMbps: 1000}, 10, makeEntries(5, 2, 0.4, 1000), map[string]int{}},
		{"hundreds of workers", Entry{Cores: 0.8, LinkMbps: 200}, 108, makeEntries(5, 3, 0.8, 200), map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2, "z4": 2}},
		{"large entries first", Entry{Cores: 0.8, LinkMbps: 200}, 80, mixedSizes, map[string]int{"z0": 1, "z1": 5, "z2": 5, "z3": 5, "z4": 5}},
		{"slow links", Entry{Cores: 0.8, LinkMbps: 2}, 19, makeEntries(5, 4, 0.8, 2), map[string]int{"z0": 2, "z1": 2, "z2": 2, "z3": 2, "z4": 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			workers := make(map[string]int)
			for z := range 5 {
				workers[fmt.Sprint("z", z)] = c.workers
			}
			table := NewTable(c.owner, workers, c.entries)
			counts := make(map[string]int)
			for zone, list := range table.byZone {
				counts[zone] = len(list)
			}
			must.Eq(t, c.carriers, counts)
		})
	}
}

// TestCarrierLossReassignsOnlyItsWorkers checks that the workers of the other carriers keep their carrier when one is lost.
func TestCarrierLossReassignsOnlyItsWorkers(t *testing.T) {
	table := NewTable(Entry{Cores: 0.1}, map[string]int{"z0": 300}, makeEntries(1, 4, 0.8, 0))
	must.Len(t, 4, table.Carriers())
	lost := table.Carriers()[1]
	loads := make(map[string]int)
	for i := range 300 {
		w := fmt.Sprint("w", i)
		before := table.Choose(w, "z0", 0, alwaysUsable)
		after := table.Choose(w, "z0", 0, func(c string) bool { return c != lost })
		loads[before]++
		if before != lost {
			must.Eq(t, before, after)
		}
		must.NotEq(t, lost, after)
	}
	for _, c := range slices.Sorted(maps.Keys(loads)) {
		must.Between(t, 45, loads[c], 105, must.Sprint(c)) // four equal shares of 75, within 4 standard deviations
	}
}

// TestFailuresTryEveryRoute checks that orders to a worker that its carrier cannot reach are sent over each other carrier
// of the zone and by the owner itself.
func TestFailuresTryEveryRoute(t *testing.T) {
	table := NewTable(Entry{Cores: 0.1}, map[string]int{"z0": 160, "z1": 80}, makeEntries(2, 2, 0.8, 0))
	routes := make(map[string]bool)
	for failures := range 3 {
		routes[table.Choose("w", "z0", failures, alwaysUsable)] = true
	}
	must.Eq(t, map[string]bool{"z0-e0": true, "z0-e1": true, "": true}, routes)
	must.Eq(t, "", table.Choose("w", "z0", 0, func(string) bool { return false }))
	must.NotEq(t, "", table.Choose("w", "elsewhere", 0, alwaysUsable))
}

func TestPermit(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name    string
		reading time.Time
		want    bool
	}{
		{"no reading received", time.Time{}, false},
		{"recent reading", now.Add(-time.Millisecond), true},
		{"at the maximum age", now.Add(-PermitDuration), true},
		{"resumed after a suspension", now.Add(-PermitDuration - time.Millisecond), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, Permitted(now, c.reading)) })
	}
}
