package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/config"
	"daisysaddle/core/fleet"
	"daisysaddle/core/plan"
	"daisysaddle/core/retry"
	"daisysaddle/io/admin"
	"daisysaddle/io/entry"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// recorder collects the operations of concurrent clients.
type recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	history   []porcupine.Operation
}

func (r *recorder) record(client int, input any, operation func() any) {
	call := time.Since(r.startedAt).Nanoseconds()
	output := operation()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: time.Since(r.startedAt).Nanoseconds()})
}

func newClient(p *stand.Platform) *store.Client {
	c := store.NewClient(p)
	c.Backoff = retry.Backoff{Initial: time.Millisecond, Max: 5 * time.Millisecond}
	c.ShareBudget(0)
	return c
}

const baseText = "[Deployment]\nName = d\n[Zone z]\nRegion = r\n[Service s]\n[Service t]\n[Pool p]\nService = s\n[Pool q]\nService = t\n" +
	"[Instance i]\nAddress = 10.0.0.1:80\nZone = z\nRack = r\nPool = p\n[Instance j]\nAddress = 10.0.0.2:80\nZone = z\nRack = r\nPool = q\n"

type publishInput struct{ publish bool }

type revisionOutput struct {
	revision uint64
	settled  bool
}

// publishModel is a revision counter: a publish increments it, an unsettled publish may do so, and a fetch reads it.
var publishModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(1)} },
	Step: func(state, input, output any) []any {
		revision, out := state.(uint64), output.(revisionOutput)
		switch {
		case !input.(publishInput).publish && out.revision == revision:
			return []any{revision}
		case !input.(publishInput).publish:
			return nil
		case !out.settled:
			return []any{revision, revision + 1}
		case out.revision == revision+1:
			return []any{revision + 1}
		}
		return nil
	},
}

// TestPublishesAreLinearizable publishes and fetches from concurrent clients while the store's answers to writes get lost.
func TestPublishesAreLinearizable(t *testing.T) {
	p := &stand.Platform{Seed: 11, Unlimited: true}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	base := []config.File{{Name: "10.ini", Text: baseText}}
	first, err := admin.Publish(ctx, newClient(p), 0, base)
	must.NoError(t, err)
	p.SetFaults(stand.Faults{LoseAnswers: 0.4})
	r := &recorder{startedAt: time.Now()}
	var group errgroup.Group
	for n := range 4 {
		c := newClient(p)
		group.Go(func() error {
			for i := range 8 {
				mine := append([]config.File{{Name: fmt.Sprintf("2%d%d.ini", n, i), Text: fmt.Sprintf("[Team t%d-%d]\nQuota = 1%%\n", n, i)}}, base...)
				r.record(n, publishInput{publish: true}, func() any {
					accepted, err := admin.Publish(ctx, c, first.Revision, mine)
					return revisionOutput{accepted.Revision, err == nil}
				})
				r.record(n, publishInput{}, func() any {
					accepted, _, err := admin.Fetch(ctx, c)
					return revisionOutput{accepted.Revision, err == nil}
				})
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(publishModel.ToModel(), r.history, time.Minute))
}

type moveInput struct {
	move     bool
	revision uint64
	to       string
}

type moveOutput struct {
	revision uint64
	pool     string
	outcome  store.Outcome
}

type assignment struct {
	revision uint64
	pool     string
}

// assignmentModel is one instance's pool with its revision; a move succeeds only on the revision that its client read.
var assignmentModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{assignment{1, "p"}} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(assignment), input.(moveInput), output.(moveOutput)
		moved := assignment{in.revision + 1, in.to}
		switch {
		case !in.move && now == (assignment{out.revision, out.pool}):
			return []any{now}
		case !in.move:
			return nil
		case out.outcome == store.Applied && now.revision == in.revision:
			return []any{moved}
		case out.outcome == store.Conflicted && now.revision != in.revision:
			return []any{now}
		case out.outcome == store.Unsettled && now.revision == in.revision:
			return []any{now, moved}
		case out.outcome == store.Unsettled:
			return []any{now}
		}
		return nil
	},
}

// TestAssignmentsAreLinearizable lets concurrent planners update one zone record while the store's answers to writes get lost.
func TestAssignmentsAreLinearizable(t *testing.T) {
	p := &stand.Platform{Seed: 13, Unlimited: true}
	ctx := t.Context()
	key := entry.KeyZone("z")
	c, problems := config.Parse([]config.File{{Name: "10.ini", Text: baseText}}, 1)
	must.SliceEmpty(t, problems)
	d := plan.Step(time.Now(), plan.View{Config: c, Zone: fleet.Zone{Name: "z"}}, plan.Weighted{})
	d.Zone.Revision = 1
	value, err := json.Marshal(d.Zone)
	must.NoError(t, err)
	_, outcome, _ := newClient(p).Swap(ctx, store.Record{Key: key}, value, "")
	must.Eq(t, store.Applied, outcome)
	p.SetFaults(stand.Faults{LoseAnswers: 0.4})
	r := &recorder{startedAt: time.Now()}
	var group errgroup.Group
	for n := range 4 {
		c := newClient(p)
		group.Go(func() error {
			for i := range 15 {
				var z fleet.Zone
				var record store.Record
				var err error
				r.record(n, moveInput{}, func() any {
					if record, err = c.Get(ctx, key, store.Critical); err == nil {
						err = json.Unmarshal(record.Payload(), &z)
					}
					if err != nil {
						return moveOutput{}
					}
					return moveOutput{revision: z.Revision, pool: z.Find("i").Pool}
				})
				if err != nil {
					return err
				}
				to := []string{"p", "q"}[(n+i)%2]
				next := z.Clone()
				next.Revision++
				next.Find("i").Pool = to
				value, err := json.Marshal(next)
				if err != nil {
					return err
				}
				r.record(n, moveInput{move: true, revision: z.Revision, to: to}, func() any {
					_, outcome, _ := c.Swap(ctx, record, value, "")
					return moveOutput{outcome: outcome}
				})
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(assignmentModel.ToModel(), r.history, time.Minute))
}
