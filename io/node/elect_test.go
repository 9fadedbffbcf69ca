package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestClaimDelay: all orders go through the owner, so a small entry must not win a race against a large one.
func TestClaimDelay(t *testing.T) {
	for _, c := range []struct {
		name           string
		cores, largest float64
		want           time.Duration
	}{
		{"not known", 0, 0, 0},
		{"a whole core", 1, 0, 0},
		{"large, first claim", 0.8, 0, 60 * time.Millisecond},
		{"small, first claim", 0.192, 0, 242400 * time.Microsecond},
		{"as large as any owner before", 0.4, 0.4, 0},
		{"smaller than the owner before", 0.192, 0.8, 242400 * time.Microsecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Between(t, c.want-time.Microsecond, claimDelay(c.cores, c.largest), c.want+time.Microsecond)
		})
	}
}
