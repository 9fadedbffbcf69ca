package store

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/kernel"
)

// Record is one key with its value; Revision is zero when the key does not exist.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    string `json:",omitempty"`
}

// Batch is the answer of a watch: all keys that changed after the asked revision.
type Batch struct {
	Revision uint64
	Records  []Record
	Deleted  []string
	Full     bool // the answer holds every key, because older changes were compacted
}

// Condition demands that a key still has a revision; zero demands that it does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Change is a set of writes that take effect together, and only if all conditions hold.
type Change struct {
	Conditions []Condition
	Puts       []Record
	Deletes    []string
}

// MaxChange is the largest number of conditions and writes in one change.
const MaxChange = 32

// Entries returns how much of MaxChange the change takes.
func (c Change) Entries() int { return len(c.Conditions) + len(c.Puts) + len(c.Deletes) }

// Listed is one instance in the platform's lagging list.
type Listed struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	Rack    string
	Live    bool
	Leaving bool
}

// Listing is the platform's lagging list of instances.
type Listing struct {
	At        time.Time
	Instances []Listed
}

// Errors of a backend.
var (
	ErrConflict    = errors.New("the key changed since it was read")
	ErrUnavailable = errors.New("the platform did not answer")
	ErrRateLimited = errors.New("the platform refused the call rate")
	ErrNoLease     = errors.New("the lease has expired")
	ErrNotDone     = errors.New("the platform refused the call and did nothing")
	ErrTooLarge    = errors.New("the value is larger than 1 MB")
)

// MaxValueBytes is the largest value the platform holds.
const MaxValueBytes = 1 << 20

// Backend carries single calls to the platform.
type Backend interface {
	Get(ctx context.Context, key string) (Record, error)
	Swap(ctx context.Context, next Record, expect uint64) (Record, error)
	Delete(ctx context.Context, key string, expect uint64) error
	Grant(ctx context.Context, duration time.Duration) (string, error)
	Renew(ctx context.Context, lease string) error
	Revoke(ctx context.Context, lease string) error
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
	WatchPrefix(ctx context.Context, prefix string, after uint64, wait time.Duration) (Batch, error)
	Range(ctx context.Context, prefix string) (Batch, error)
	Commit(ctx context.Context, c Change) (uint64, []Record, error)
	List(ctx context.Context) (Listing, error)
}

// Factory makes a backend for the platform at an address.
type Factory func(address netip.AddrPort) Backend

// Backends holds the backend plug-ins by name.
var Backends kernel.Registry[Factory]

func init() {
	Backends.Register("Http", func(address netip.AddrPort) Backend { return NewHTTP(address) })
}
