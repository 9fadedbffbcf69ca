package carry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Entry describes an entry that can send orders to workers.
type Entry struct {
	Incarnation string
	Zone        string
	Cores       float64 // processors available to the entry; zero if unknown
	LinkMbps    float64 // bandwidth of the entry's network link in Mbit/s; zero if unknown
}

// A busy worker needs about five calls per second, each taking 0.2 ms of processor time and 1.5 KB on the link.
const (
	workersPerCore  = 100.0 // they use a tenth of a core
	workersPerMbps  = 8.0   // they use half of the link
	defaultCores    = 1.0   // for an entry that does not report its cores
	ownerLoadFactor = 1.5   // an owner sends to this multiple of its Capacity before it uses carriers
)

// Capacity returns the number of workers to which the entry should send orders, at least 1.
func (e Entry) Capacity() int {
	capacity := workersPerCore * cmp.Or(e.Cores, defaultCores)
	if e.LinkMbps > 0 {
		capacity = min(capacity, workersPerMbps*e.LinkMbps)
	}
	return max(1, int(capacity))
}

// Table assigns to each zone the carriers that send orders to its workers.
type Table struct {
	byZone   map[string][]string // incarnations of carriers by zone
	carriers []string
}

// NewTable selects carriers for the given numbers of workers by zone. An owner that can send to all workers itself, within
// ownerLoadFactor, gets no carriers; otherwise each zone gets its entries of the largest capacity, as many as its workers need.
func NewTable(owner Entry, workers map[string]int, entries []Entry) Table {
	t := Table{byZone: make(map[string][]string)}
	total := 0
	for _, n := range workers {
		total += n
	}
	if float64(total) <= ownerLoadFactor*float64(owner.Capacity()) {
		return t
	}
	entries = slices.SortedFunc(slices.Values(entries), func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Capacity(), a.Capacity()), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for _, zone := range slices.Sorted(maps.Keys(workers)) {
		capacity := 0
		for _, e := range entries {
			if e.Zone == zone && capacity < workers[zone] {
				t.byZone[zone] = append(t.byZone[zone], e.Incarnation)
				capacity += e.Capacity()
			}
		}
		t.carriers = append(t.carriers, t.byZone[zone]...)
	}
	return t
}

// Carriers returns the incarnations of all carriers.
func (t Table) Carriers() []string { return t.carriers }

// Choose returns the incarnation of a worker's carrier, or an empty string if the owner sends the order itself. Only carriers
// that are usable are chosen: those of the worker's zone, or of all zones if that zone has none. Orders to a worker use the
// same carrier as long as they are answered; the number of earlier failures selects another one. After all carriers of the
// zone it is the owner's turn, since a partition may separate the worker from the entries of its zone but not from the owner.
func (t Table) Choose(worker, zone string, failures int, usable func(incarnation string) bool) string {
	candidates := t.byZone[zone]
	if len(candidates) == 0 {
		candidates = t.carriers
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return !usable(c) })
	index := failures % (len(candidates) + 1)
	if index == len(candidates) {
		return ""
	}
	slices.SortFunc(candidates, func(a, b string) int { return cmp.Compare(rank(a, worker), rank(b, worker)) })
	return candidates[index]
}

// rank orders the carriers for a worker by rendezvous hashing, so that the loss of a carrier reassigns only its own workers.
func rank(carrier, worker string) uint64 { return xxhash.Sum64String(carrier + "\x00" + worker) }
