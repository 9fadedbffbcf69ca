package store_test

import (
	"context"
	"encoding/json"
	"fmt"
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

var quick = retry.Backoff{First: time.Millisecond, Most: 5 * time.Millisecond}

func newClient(p *stand.Platform) *store.Client {
	c := store.NewClient(p)
	c.Backoff = quick
	c.ShareBudget(0)
	return c
}

// TestLostAnswersAreSettled writes 1000 times while every second answer is lost.
func TestLostAnswersAreSettled(t *testing.T) {
	const writes = 1000
	p := &stand.Platform{Seed: 3, Unlimited: true}
	p.SetFaults(stand.Faults{LoseAnswers: 0.5})
	ctx := t.Context()
	var group errgroup.Group
	var mu sync.Mutex
	applied := 0
	for range 4 {
		c := newClient(p)
		group.Go(func() error {
			for done := 0; done < writes/4; {
				record, err := c.Get(ctx, "counter", store.Safety)
				if err != nil {
					return err
				}
				var n int
				_ = json.Unmarshal(record.Payload(), &n) // an absent record counts zero
				_, outcome, _ := c.Swap(ctx, record, fmt.Append(nil, n+1), "")
				if outcome == store.Unsettled {
					return errors.New("an outcome was not settled")
				}
				if outcome == store.Applied {
					done++
					mu.Lock()
					applied++
					mu.Unlock()
				}
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	record, err := newClient(p).Get(ctx, "counter", store.Safety)
	must.NoError(t, err)
	must.Eq(t, fmt.Sprint(applied), string(record.Payload()))
	must.Eq(t, writes, applied)
}

// register is a compare-and-swap register for porcupine.
type registerInput struct {
	swap     bool
	from, to int
}

type registerOutput struct {
	value   int
	applied bool
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in, out, value := input.(registerInput), output.(registerOutput), state.(int)
		if !in.swap {
			return out.value == value, value
		}
		if out.applied {
			return value == in.from, in.to
		}
		return value != in.from, value
	},
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
				swap := porcupine.Operation{ClientId: client, Input: registerInput{swap: true, from: value, to: next}, Call: call, Output: registerOutput{applied: outcome == store.Applied}, Return: time.Since(began).Nanoseconds()}
				mu.Lock()
				history = append(history, read, swap)
				mu.Unlock()
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, history, time.Minute))
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
