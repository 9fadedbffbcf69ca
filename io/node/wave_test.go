package node

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// TestCompletionOfAWaveIsStoredWhole guards against a wave that is never reported: its record was stored and the operator's status was not.
func TestCompletionOfAWaveIsStoredWhole(t *testing.T) {
	p := &stand.Platform{Unlimited: true}
	f := &faultyBackend{Platform: p}
	n := New(Settings{Bounds: sched.Settings{}}, Dependencies{Store: store.NewClient(f), Dialect: fakeDialect{}, Now: SteadyClock()})
	owner, _, err := p.Commit(t.Context(), store.Change{Puts: []store.Record{{Key: keyOwner, Value: []byte(`{}`)}}})
	must.NoError(t, err)
	c := n.newControl(t.Context(), ownership{revision: owner})
	stored := make(chan struct{})
	f.setCalls(func(key string) {
		if strings.HasPrefix(key, keyWaves) {
			close(stored)
		}
	})
	c.saveWave(sched.WaveStatus{Wave: 1, Completed: true})
	select {
	case <-stored:
	case <-time.After(10 * time.Second):
		t.Fatal("the record of the wave is not written")
	}
	c.saveBatcher.Wait() // no event of the control is handled any more
	for _, key := range []string{keyWaves + "1", fakeStatus + "1"} {
		r, err := p.Get(t.Context(), key)
		must.NoError(t, err)
		must.Positive(t, r.Revision, must.Sprint(key))
	}
}
