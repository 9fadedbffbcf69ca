package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestClaimDelay: a small entry must not claim before a large one, since all orders go through the owner's processor.
func TestClaimDelay(t *testing.T) {
	for _, c := range []struct {
		name           string
		cores, largest float64
		want           time.Duration
	}{
		{"unknown cores", 0, 0, 0},
		{"one core", 1, 0, 0},
		{"large, first claim", 0.8, 0, 60 * time.Millisecond},
		{"small, first claim", 0.192, 0, 242400 * time.Microsecond},
		{"as large as the largest owner", 0.4, 0.4, 0},
		{"smaller than the largest owner", 0.192, 0.8, 242400 * time.Microsecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Between(t, c.want-time.Microsecond, claimDelay(c.cores, c.largest), c.want+time.Microsecond)
		})
	}
}
