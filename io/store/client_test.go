package store_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/config"
	"daisysaddle/core/retry"
	"daisysaddle/io/admin"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

var shortBackoff = retry.Backoff{Initial: time.Millisecond, Max: 5 * time.Millisecond}

func newClient(p *stand.Platform) *store.Client {
	c := store.NewClient(p)
	c.Backoff = shortBackoff
	c.ShareBudget(0)
	return c
}

// lossyBackend loses the responses of a seeded random choice of one client's writes. It records all writes in a history that
// the clients share, so that a test can check the outcomes that the client reports.
type lossyBackend struct {
	*stand.Platform
	random  *rand.Rand
	history *history
}

// history counts the writes that were applied and holds the latest one of each client.
type history struct {
	mu      sync.Mutex
	writes  int
	applied map[*lossyBackend]int // number of its latest applied write
}

func (f *lossyBackend) Swap(ctx context.Context, next store.Record, expect uint64) (store.Record, error) {
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	written, err := f.Platform.Swap(ctx, next, expect)
	if err != nil {
		return written, err
	}
	f.history.writes++
	f.history.applied[f] = f.history.writes
	if f.random.Float64() < 0.5 {
		return store.Record{}, store.ErrUnavailable
	}
	return written, nil
}

// writesSinceLast returns how many writes of others followed the client's latest applied one, and the number of that one.
func (f *lossyBackend) writesSinceLast() (int, int) {
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	lastWrite := f.history.applied[f]
	return f.history.writes - lastWrite, lastWrite
}

// TestLostAnswersAreSettled writes 1000 times while half of the responses, chosen at random, are lost. A record holds the ids of
// its latest 64 writes, so an outcome may stay unknown only if 64 other writes followed before the client could read the record.
func TestLostAnswersAreSettled(t *testing.T) {
	const writes, remembered = 1000, 64
	p := &stand.Platform{Seed: 3, Unlimited: true}
	writeHistory := &history{applied: make(map[*lossyBackend]int)}
	ctx := t.Context()
	var group errgroup.Group
	for client := range 4 {
		f := &lossyBackend{Platform: p, random: rand.New(rand.NewPCG(3, uint64(client))), history: writeHistory}
		c := store.NewClient(f)
		c.Backoff = shortBackoff
		c.ShareBudget(0)
		group.Go(func() error {
			for done := 0; done < writes/4; {
				record, err := c.Get(ctx, "counter", store.Critical)
				if err != nil {
					return err
				}
				var n int
				_ = json.Unmarshal(record.Payload(), &n) // a missing record counts as zero
				_, before := f.writesSinceLast()
				_, outcome, _ := c.Swap(ctx, record, fmt.Append(nil, n+1), "")
				followed, after := f.writesSinceLast()
				tookEffect := after != before
				switch {
				case outcome == store.Unsettled && (!tookEffect || followed < remembered):
					return errors.Newf("outcome still unknown after %d other writes", followed)
				case outcome != store.Unsettled && tookEffect != (outcome == store.Applied):
					return errors.Newf("a write was reported as %s; it was applied: %t", outcome, tookEffect)
				}
				if tookEffect {
					done++
				}
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	record, err := newClient(p).Get(ctx, "counter", store.Critical)
	must.NoError(t, err)
	must.Eq(t, fmt.Sprint(writeHistory.writes), string(record.Payload()))
	must.Eq(t, writes, writeHistory.writes)
}

// registerOperation is an operation on a compare-and-swap register.
type registerOperation struct {
	swap     bool
	from, to int
}

type registerOutput struct {
	value   int
	outcome store.Outcome
}

// registerModel allows a write whose outcome is unknown to be applied or not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		in, out, value := input.(registerOperation), output.(registerOutput), state.(int)
		switch {
		case !in.swap && out.value == value:
			return []any{value}
		case !in.swap:
			return nil
		case out.outcome == store.Applied && value == in.from:
			return []any{in.to}
		case out.outcome == store.Conflicted && value != in.from:
			return []any{value}
		case out.outcome == store.Unsettled && value == in.from:
			return []any{value, in.to}
		case out.outcome == store.Unsettled:
			return []any{value}
		}
		return nil
	},
}

// overwritingBackend loses the response of one write and overwrites the record 100 times before the client can read it.
type overwritingBackend struct {
	*stand.Platform
	t              *testing.T
	loseNextAnswer bool
}

func (b *overwritingBackend) Swap(ctx context.Context, next store.Record, expect uint64) (store.Record, error) {
	written, err := b.Platform.Swap(ctx, next, expect)
	if !b.loseNextAnswer || err != nil {
		return written, err
	}
	b.loseNextAnswer = false
	otherClient := newClient(b.Platform)
	latest, err := otherClient.Get(ctx, next.Key, store.Critical)
	must.NoError(b.t, err)
	for range 100 {
		latest, _, err = otherClient.Swap(ctx, latest, []byte("2"), "")
		must.NoError(b.t, err)
	}
	return store.Record{}, store.ErrUnavailable
}

// TestSwapWithOverwrittenHistoryIsUnsettled checks that a write whose response is lost is not reported as a conflict once
// later writes have removed its id from the record, since it may have been applied.
func TestSwapWithOverwrittenHistoryIsUnsettled(t *testing.T) {
	b := &overwritingBackend{Platform: &stand.Platform{Unlimited: true}, t: t}
	c := store.NewClient(b)
	first, outcome, err := c.Swap(t.Context(), store.Record{Key: "k"}, []byte("1"), "")
	must.NoError(t, err)
	must.Eq(t, store.Applied, outcome)
	b.loseNextAnswer = true
	_, outcome, _ = c.Swap(t.Context(), first, []byte("3"), "")
	must.Eq(t, store.Unsettled, outcome)
	_, outcome, _ = c.Swap(t.Context(), first, []byte("4"), "")
	must.Eq(t, store.Conflicted, outcome)
}

// TestSwapsAreLinearizable checks the history of concurrent reads and swaps on one key while 30% of the responses are lost.
func TestSwapsAreLinearizable(t *testing.T) {
	p := &stand.Platform{Seed: 5, Unlimited: true}
	p.SetFaults(stand.Faults{LoseAnswers: 0.3})
	ctx := t.Context()
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	var group errgroup.Group
	for client := range 5 {
		c := newClient(p)
		group.Go(func() error {
			for i := range 40 {
				call := time.Since(began).Nanoseconds()
				record, err := c.Get(ctx, "register", store.Critical)
				if err != nil {
					return err
				}
				var value int
				_ = json.Unmarshal(record.Payload(), &value) // a missing record counts as zero
				read := porcupine.Operation{ClientId: client, Input: registerOperation{}, Call: call, Output: registerOutput{value: value}, Return: time.Since(began).Nanoseconds()}
				next := (client+1)*1000 + i
				call = time.Since(began).Nanoseconds()
				_, outcome, _ := c.Swap(ctx, record, fmt.Append(nil, next), "")
				swap := porcupine.Operation{ClientId: client, Input: registerOperation{swap: true, from: value, to: next}, Call: call, Output: registerOutput{outcome: outcome}, Return: time.Since(began).Nanoseconds()}
				mu.Lock()
				history = append(history, read, swap)
				mu.Unlock()
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel.ToModel(), history, time.Minute))
}

const baseText = "[Deployment]\nName = d\n[Zone z]\nRegion = r\n[Service s]\n[Pool p]\nService = s\n[Instance i]\nAddress = 10.0.0.1:80\nZone = z\nRack = r\nPool = p\n"

// TestConcurrentPublishes publishes changes of different keys concurrently while responses are lost: each must be accepted once.
// A later change of one of these keys from the same base revision must be refused as a conflict.
func TestConcurrentPublishes(t *testing.T) {
	p := &stand.Platform{Seed: 9, Unlimited: true}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	base := []config.File{{Name: "10.ini", Text: baseText}}
	accepted, err := admin.Publish(ctx, newClient(p), 0, base)
	must.NoError(t, err)
	p.SetFaults(stand.Faults{LoseAnswers: 0.5})
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error {
			mine := append([]config.File{}, base...)
			mine = append(mine, config.File{Name: fmt.Sprintf("2%d.ini", i), Text: fmt.Sprintf("[Team t%d]\nQuota = %d%%\n", i, i+1)})
			_, err := admin.Publish(ctx, newClient(p), accepted.Revision, mine)
			return err
		})
	}
	must.NoError(t, group.Wait())
	after, _, err := admin.Fetch(ctx, newClient(p))
	must.NoError(t, err)
	must.Eq(t, accepted.Revision+8, after.Revision)
	parsed, problems := config.Parse(after.Files, after.Revision)
	must.SliceEmpty(t, problems)
	must.Len(t, 8, parsed.Teams)

	change := func(quota int) []config.File {
		return append([]config.File{{Name: "20.ini", Text: fmt.Sprintf("[Team t0]\nQuota = %d%%\n", quota)}}, after.Files[:1]...)
	}
	_, err = admin.Publish(ctx, newClient(p), accepted.Revision, change(50))
	var conflict *config.ConflictError
	must.True(t, errors.As(err, &conflict))
	must.Eq(t, "Quota", conflict.Conflicts[0].Key)
	unchanged, _, err := admin.Fetch(ctx, newClient(p))
	must.NoError(t, err)
	must.Eq(t, after.Revision, unchanged.Revision)
}
