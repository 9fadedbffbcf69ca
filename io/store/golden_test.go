package store

import (
	"testing"

	"daisysaddle/core/golden"
)

// TestRecordsKeepTheirBytes guards against a change of the outer names that earlier builds stored or send.
func TestRecordsKeepTheirBytes(t *testing.T) {
	golden.Check[envelope](t, "envelope")
	golden.Check[Record](t, "Record")
	golden.Check[SwapRequest](t, "SwapRequest")
	golden.Check[LeaseAnswer](t, "LeaseAnswer")
	golden.Check[Batch](t, "Batch")
	golden.Check[Change](t, "Change")
	golden.Check[ChangeAnswer](t, "ChangeAnswer")
	golden.Check[Listing](t, "Listing")
}
