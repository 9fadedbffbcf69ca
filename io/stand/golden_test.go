package stand

import (
	"testing"

	"daisysaddle/core/golden"
)

// TestRecordsKeepTheirBytes guards against a change of the outer names that earlier builds stored or send.
func TestRecordsKeepTheirBytes(t *testing.T) {
	golden.Check[Faults](t, "Faults")
}
