package route

import (
	"github.com/cespare/xxhash/v2"
)

// Owner returns the index of the node that owns key by rendezvous hashing, or -1 if nodes is empty.
func Owner(nodes []string, key string) int {
	best, bestScore := -1, uint64(0)
	for i, node := range nodes {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(node) // Digest.WriteString never returns an error
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(key)
		if score := d.Sum64(); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
