package sketch

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxKinds    = 48      // kinds in a set; the one that was recorded least lately is dropped
	window      = 256     // values after which the older ones begin to fade
	scale       = 1000    // ratios are kept in thousandths
	minValue    = 10      // thousandths; a smaller ratio counts as this
	maxValue    = 200_000 // thousandths; a larger ratio counts as this
	digits      = 1       // significant decimal digits
	minRuns     = 20      // values from which a sketch is used
	cachedRanks = 64      // quantiles that are kept at most
	staleness   = 32      // one part in this many of a sketch's values may be missing from what is kept
)

// Kind identifies runs of which the ratio of actual to estimated time is alike.
type Kind struct {
	Queue     string
	Image     string `json:",omitempty"`
	Estimated bool   `json:",omitempty"` // the submitter stated an estimate
}

// Set holds a sketch for each kind. Its zero value is empty and ready to use. It is not safe for concurrent use.
type Set struct {
	kinds    map[Kind]*ratios
	recorded uint64 // counts the values that were recorded
	asked    Kind   // kind that known was last asked for, since most questions in a row are about one
	answered *ratios
}

// ratios is the sketch of one kind. The values before the last window have faded from it.
type ratios struct {
	all      *hdrhistogram.Histogram // of the present window and the one before
	recent   *hdrhistogram.Histogram // of the present window
	last     uint64                  // number of the last value
	quantile map[float64]float64     // cached for some values
	mean     float64                 // cached likewise; zero if it is not known
	spread   float64                 // cached likewise; zero if it is not known
	missing  int64                   // number of values that the caches lack
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxValue, digits) }

// Recorded returns how many values were recorded.
func (s *Set) Recorded() uint64 { return s.recorded }

// Record records the time that a run of a kind took.
func (s *Set) Record(k Kind, estimate, took time.Duration) {
	if estimate <= 0 || took < 0 {
		return
	}
	s.recorded++
	s.kind(k).add(int64(scale*float64(took)/float64(estimate)), 1, s.recorded)
}

// kind returns the sketch of a kind. A new one may displace the one that was recorded least lately.
func (s *Set) kind(k Kind) *ratios {
	if r := s.kinds[k]; r != nil {
		return r
	}
	if s.kinds == nil {
		s.kinds = make(map[Kind]*ratios)
	}
	if len(s.kinds) >= maxKinds {
		delete(s.kinds, s.sorted()[0])
		s.answered = nil
	}
	r := &ratios{all: newHistogram(), recent: newHistogram()}
	s.kinds[k] = r
	return r
}

// sorted returns the kinds, those first that were recorded least lately.
func (s *Set) sorted() []Kind {
	kinds := make([]Kind, 0, len(s.kinds))
	for k := range s.kinds {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(s.kinds[a].last, s.kinds[b].last), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Image, b.Image))
	})
	return kinds
}

// add adds n equal values.
func (r *ratios) add(value, n int64, number uint64) {
	value = min(maxValue, max(minValue, value))
	if r.recent.RecordValues(value, n) != nil || r.all.RecordValues(value, n) != nil {
		return // can't be: the value is within the range of both
	}
	r.last = number
	if r.missing += n; r.missing*staleness >= r.all.TotalCount() {
		r.mean, r.spread, r.missing = 0, 0, 0
		clear(r.quantile)
	}
	if r.recent.TotalCount() >= window {
		r.all, r.recent = r.recent, newHistogram() // what came before the window fades
	}
}

// known returns the sketch of a kind that holds enough values to be used, or nil.
func (s *Set) known(k Kind) *ratios {
	if s.answered == nil || s.asked != k {
		s.asked, s.answered = k, s.kinds[k]
	}
	if r := s.answered; r != nil && r.all.TotalCount() >= minRuns {
		return r
	}
	return nil
}

// Spread returns the quotient of a high quantile of the ratios of a kind and their median, and whether enough runs of it are known.
func (s *Set) Spread(k Kind, high float64) (float64, bool) {
	r := s.known(k)
	if r == nil {
		return 0, false
	}
	if r.spread == 0 {
		upper, _ := s.Quantile(k, high)
		median, _ := s.Quantile(k, 0.5)
		r.spread = upper / median
	}
	return r.spread, true
}

// Quantile returns a quantile, from 0 to 1, of the ratios of a kind, and whether enough runs of it are known.
func (s *Set) Quantile(k Kind, q float64) (float64, bool) {
	r := s.known(k)
	if r == nil {
		return 0, false
	}
	v, cached := r.quantile[q]
	if !cached {
		v = float64(r.all.ValueAtQuantile(100*q)) / scale
		if r.quantile == nil {
			r.quantile = make(map[float64]float64)
		}
		if len(r.quantile) < cachedRanks {
			r.quantile[q] = v
		}
	}
	return v, true
}

// Mean returns the mean ratio of a kind, and whether enough runs of it are known.
func (s *Set) Mean(k Kind) (float64, bool) {
	r := s.known(k)
	if r == nil {
		return 0, false
	}
	if r.mean == 0 {
		r.mean = r.all.Mean() / scale
	}
	return r.mean, true
}

// Record is the sketch of a kind in its stored form.
type Record struct {
	Kind
	Ratios [][2]int64 `json:",omitempty"` // ratio in thousandths, and number of runs
}

// Records returns the sketches in their stored form, those first that were recorded least lately.
func (s *Set) Records() []Record {
	records := make([]Record, 0, len(s.kinds))
	for _, k := range s.sorted() {
		r := Record{Kind: k}
		for _, bar := range s.kinds[k].all.Distribution() {
			if bar.Count > 0 {
				r.Ratios = append(r.Ratios, [2]int64{(bar.From + bar.To) / 2, bar.Count})
			}
		}
		records = append(records, r)
	}
	return records
}

// maxRatios and maxCount bound what is read of a stored sketch.
const (
	maxRatios = 1000
	maxCount  = 1 << 20
)

// Restore adds stored sketches, each with the weight of half a window at most, so that new values soon count more. It bounds what an odd
// record holds.
func (s *Set) Restore(records []Record) {
	for _, record := range records[max(0, len(records)-maxKinds):] {
		ratios := record.Ratios[:min(maxRatios, len(record.Ratios))]
		total := int64(0)
		for _, ratio := range ratios {
			total += min(maxCount, max(0, ratio[1]))
		}
		if total == 0 {
			continue
		}
		s.recorded++
		r := s.kind(record.Kind)
		limit, read, added := min(total, window/2), int64(0), int64(0)
		for _, ratio := range ratios {
			read += min(maxCount, max(0, ratio[1]))
			if n := read*limit/total - added; n > 0 {
				r.add(ratio[0], n, s.recorded)
				added += n
			}
		}
	}
}
