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

// RecordOf returns the record of a key, with revision zero if it is not among the records.
func RecordOf(records []Record, key string) Record {
	for _, r := range records {
		if r.Key == key {
			return r
		}
	}
	return Record{Key: key}
}

// Batch is the result of a watch or of a range read: the keys that changed after the requested revision, or all keys.
type Batch struct {
	Revision uint64
	Records  []Record
	Deleted  []string
	Full     bool // Records holds all keys, not just the changed ones, for instance because older changes were compacted
}

// Condition requires a key to be at a revision; zero requires that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Change is a transaction: its writes are applied atomically, and only if all conditions hold.
type Change struct {
	Conditions []Condition
	Puts       []Record
	Deletes    []string
}

// MaxChangeSize is the largest number of conditions and writes in one change.
const MaxChangeSize = 32

// Size returns the number of conditions and writes in the change, which may not exceed MaxChangeSize.
func (c Change) Size() int { return len(c.Conditions) + len(c.Puts) + len(c.Deletes) }

// ListedInstance is one instance in the platform's list of instances.
type ListedInstance struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	Rack    string
	Live    bool
	Leaving bool
}

// Listing is the platform's list of instances as it was at the time At; it lags behind the platform's state.
type Listing struct {
	At        time.Time
	Instances []ListedInstance
}

// MaxKeyBytes is the length of the longest key that a backend must accept.
const MaxKeyBytes = 200

// Errors of a backend. After ErrUnavailable a write may have been applied, unless the error is also ErrNotApplied.
var (
	ErrConflict    = errors.New("the key was changed since it was read")
	ErrUnavailable = errors.New("the platform did not respond")
	ErrRateLimited = errors.New("the call rate limit was exceeded")
	ErrNoLease     = errors.New("the lease has expired")
	ErrNotApplied  = errors.New("the platform rejected the call without applying it")
	ErrTooLarge    = errors.New("the value is larger than 1 MB")
	ErrInvalid     = errors.New("the platform accepts no such call")
	ErrCompacted   = errors.New("the changes after the requested revision were compacted")
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Backend makes single calls to the platform, without retries.
//
// Swap and Delete fail with ErrConflict if the key's revision is not expect; zero expects that the key does not exist. Commit
// returns the new revision, or after a conflict the records of the conditions' keys. Renew and
// writes with an expired lease fail with ErrNoLease. WatchPrefix fails with ErrCompacted, or returns all records, if changes after
// the revision were compacted.
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

// Factory returns a backend for the platform at an address.
type Factory func(address netip.AddrPort) Backend

// Backends holds the backend plug-ins by name.
var Backends kernel.Registry[Factory]

func init() {
	Backends.Register("Http", func(address netip.AddrPort) Backend { return NewHTTP(address) })
}
