package carry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry is an entry that can send orders.
type Entry struct {
	Incarnation string
	Zone        string
	Cores       float64 // processors that it may use; zero when not known
	LinkMbps    float64 // megabits a second of its network link; zero when not known
}

// A busy worker takes about five calls a second of 0.2 ms of processor and 1.5 KB each.
const (
	workersPerCore = 100.0 // a tenth of the processor
	workersPerMbps = 8.0   // half of the link
	assumedCores   = 1.0   // of an entry that does not tell
	ownShare       = 1.5   // an owner carries this many times what a carrier would before it asks others
)

// Room returns how many workers an entry should carry orders to.
func (e Entry) Room() int {
	room := workersPerCore * cmp.Or(e.Cores, assumedCores)
	if e.LinkMbps > 0 {
		room = min(room, workersPerMbps*e.LinkMbps)
	}
	return max(1, int(room))
}

// Table says which entries carry the orders to the workers of each zone.
type Table struct {
	zones map[string][]string // incarnations by zone
	all   []string
}

// NewTable shares out the workers, counted by zone. An owner with room for all of them has no carriers; otherwise each
// zone gets its largest entries, as many as its workers need.
func NewTable(owner Entry, workers map[string]int, entries []Entry) Table {
	t := Table{zones: make(map[string][]string)}
	total := 0
	for _, n := range workers {
		total += n
	}
	if float64(total) <= ownShare*float64(owner.Room()) {
		return t
	}
	entries = slices.SortedFunc(slices.Values(entries), func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Room(), a.Room()), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, zone := range slices.Sorted(maps.Keys(workers)) {
		room := 0
		for _, e := range entries {
			if e.Zone == zone && room < workers[zone] {
				t.zones[zone] = append(t.zones[zone], e.Incarnation)
				room += e.Room()
			}
		}
		t.all = append(t.all, t.zones[zone]...)
	}
	return t
}

// Carriers returns the incarnations of all carriers.
func (t Table) Carriers() []string { return t.all }

// Choose returns the carrier of a worker, or an empty string when the owner sends the order itself. Orders to a worker keep to one
// carrier while they are answered; misses counts the failures in a row that call for another one. After the carriers of
// its zone comes the owner's own path, since a partition may hide the worker from its zone only.
func (t Table) Choose(worker, zone string, misses int, usable func(incarnation string) bool) string {
	candidates := t.zones[zone]
	if len(candidates) == 0 {
		candidates = t.all
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return !usable(c) })
	turn := misses % (len(candidates) + 1)
	if turn == len(candidates) {
		return ""
	}
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(weight(a, worker), weight(b, worker)) })
	return candidates[turn]
}

// weight orders carriers for a worker; when a carrier goes, only its own workers change.
func weight(carrier, worker string) uint64 { return xxhash.Sum64String(carrier + "\x00" + worker) }
