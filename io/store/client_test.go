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

var quick = retry.Backoff{Initial: time.Millisecond, Max: 5 * time.Millisecond}

func newClient(p *stand.Platform) *store.Client {
	c := store.NewClient(p)
	c.Backoff = quick
	c.ShareBudget(0)
	return c
}

// forgetful loses the answers of a seeded choice of one client's writes. It checks what the client says of them
// against the history of all writes, which the clients share.
type forgetful struct {
	*stand.Platform
	random  *rand.Rand
	history *history
}

// history is how many writes took effect, and which of them each client made last.
type history struct {
	mu      sync.Mutex
	writes  int
	applied map[*forgetful]int // the number of its last write that took effect
}

func (f *forgetful) Swap(ctx context.Context, next store.Record, expect uint64) (store.Record, error) {
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

// since returns how many writes of others followed the client's last one, and its number.
func (f *forgetful) since() (int, int) {
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	last := f.history.applied[f]
	return f.history.writes - last, last
}

// TestLostAnswersAreSettled writes 1000 times while every second answer is lost. A record names its last 64 writes, so an
// outcome may stay open only when as many others followed before the client could read it back.
func TestLostAnswersAreSettled(t *testing.T) {
	const writes, remembered = 1000, 64
	p := &stand.Platform{Seed: 3, Unlimited: true}
	h := &history{applied: make(map[*forgetful]int)}
	ctx := t.Context()
	var group errgroup.Group
	for client := range 4 {
		f := &forgetful{Platform: p, random: rand.New(rand.NewPCG(3, uint64(client))), history: h}
		c := store.NewClient(f)
		c.Backoff = quick
		c.ShareBudget(0)
		group.Go(func() error {
			for done := 0; done < writes/4; {
				record, err := c.Get(ctx, "counter", store.Safety)
				if err != nil {
					return err
				}
				var n int
				_ = json.Unmarshal(record.Payload(), &n) // an absent record counts zero
				_, before := f.since()
				_, outcome, _ := c.Swap(ctx, record, fmt.Append(nil, n+1), "")
				followed, after := f.since()
				took := after != before
				switch {
				case outcome == store.Unsettled && (!took || followed < remembered):
					return errors.Newf("an outcome was not settled after %d other writes", followed)
				case outcome != store.Unsettled && took != (outcome == store.Applied):
					return errors.Newf("a write was called %s; it took effect: %t", outcome, took)
				}
				if took {
					done++
				}
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	record, err := newClient(p).Get(ctx, "counter", store.Safety)
	must.NoError(t, err)
	must.Eq(t, fmt.Sprint(h.writes), string(record.Payload()))
	must.Eq(t, writes, h.writes)
}

// registerInput is an operation on a compare-and-swap register.
type registerInput struct {
	swap     bool
	from, to int
}

type registerOutput struct {
	value   int
	outcome store.Outcome
}

// registerModel lets a write whose outcome is not known have taken effect or not.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		in, out, value := input.(registerInput), output.(registerOutput), state.(int)
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

// buried loses the answer of one write and lets others write many times before it is read back.
type buried struct {
	*stand.Platform
	t    *testing.T
	lose bool
}

func (b *buried) Swap(ctx context.Context, next store.Record, expect uint64) (store.Record, error) {
	written, err := b.Platform.Swap(ctx, next, expect)
	if !b.lose || err != nil {
		return written, err
	}
	b.lose = false
	other := newClient(b.Platform)
	latest, err := other.Get(ctx, next.Key, store.Safety)
	must.NoError(b.t, err)
	for range 100 {
		latest, _, err = other.Swap(ctx, latest, []byte("2"), "")
		must.NoError(b.t, err)
	}
	return store.Record{}, store.ErrUnavailable
}

func TestForgottenOperationIsNotCalledAConflict(t *testing.T) {
	b := &buried{Platform: &stand.Platform{Unlimited: true}, t: t}
	c := store.NewClient(b)
	first, outcome, err := c.Swap(t.Context(), store.Record{Key: "k"}, []byte("1"), "")
	must.NoError(t, err)
	must.Eq(t, store.Applied, outcome)
	b.lose = true
	_, outcome, _ = c.Swap(t.Context(), first, []byte("3"), "")
	must.Eq(t, store.Unsettled, outcome)
	_, outcome, _ = c.Swap(t.Context(), first, []byte("4"), "")
	must.Eq(t, store.Conflicted, outcome)
}

// TestSwapsAreLinearizable checks concurrent histories under lost answers and short outages.
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
				record, err := c.Get(ctx, "register", store.Safety)
				if err != nil {
					return err
				}
				var value int
				_ = json.Unmarshal(record.Payload(), &value) // an absent record holds zero
				read := porcupine.Operation{ClientId: client, Input: registerInput{}, Call: call, Output: registerOutput{value: value}, Return: time.Since(began).Nanoseconds()}
				next := (client+1)*1000 + i
				call = time.Since(began).Nanoseconds()
				_, outcome, _ := c.Swap(ctx, record, fmt.Append(nil, next), "")
				swap := porcupine.Operation{ClientId: client, Input: registerInput{swap: true, from: value, to: next}, Call: call, Output: registerOutput{outcome: outcome}, Return: time.Since(began).Nanoseconds()}
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

// TestConcurrentOperators publishes different keys and the same key under lost answers.
func TestConcurrentOperators(t *testing.T) {
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
