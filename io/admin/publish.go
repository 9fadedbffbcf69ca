package admin

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"daisysaddle/core/config"
	"daisysaddle/io/entry"
	"daisysaddle/io/store"
)

// Fetch reads the accepted configuration and its record, both with revision zero when none is accepted yet.
func Fetch(ctx context.Context, c *store.Client) (config.Accepted, store.Record, error) {
	var accepted config.Accepted
	record, err := c.Get(ctx, entry.KeyConfig, store.Critical)
	if err != nil || record.Revision == 0 {
		return accepted, record, err
	}
	accepted, err = config.Decode(record.Payload())
	return accepted, record, err
}

// Publish merges files, which are based on revision base, into the accepted configuration and returns the result.
//
// It starts over when another operator publishes meanwhile. The error of an
// unsettled write says that the configuration may have been accepted.
func Publish(ctx context.Context, c *store.Client, base uint64, files []config.File) (config.Accepted, error) {
	operation := uuid.NewString()
	for {
		accepted, record, err := Fetch(ctx, c)
		if err != nil {
			return accepted, err
		}
		next, err := config.Publish(accepted, base, files, operation)
		if err != nil {
			return accepted, err
		}
		value, err := next.Encode()
		if err != nil {
			return accepted, err
		}
		_, outcome, err := c.Swap(ctx, record, value, "")
		switch outcome {
		case store.Applied:
			return next, nil
		case store.Conflicted:
			if !errors.Is(err, store.ErrConflict) {
				return accepted, err
			}
		case store.Unsettled:
			return accepted, errors.Wrap(err, "the configuration may or may not have been accepted; fetch it to find out")
		}
	}
}
