package node

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/sched"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

// jobOf returns a job of an account.
func jobOf(account, id string) sched.Job {
	j := job(id, 2)
	j.Account = account
	return j
}

// TestConfigCarriesDigests checks that keys survive the way to a peer as digests, also an empty set of them.
func TestConfigCarriesDigests(t *testing.T) {
	for _, keys := range []Keys{nil, {}, {DigestKey("secret"): "one"}} {
		text, err := json.Marshal(Config{Keys: keys})
		must.NoError(t, err)
		must.StrNotContains(t, string(text), "secret")
		var c Config
		must.NoError(t, json.Unmarshal(text, &c))
		must.Eq(t, keys, c.Keys)
		must.Eq(t, keys == nil, c.Keys == nil)
	}
}

// TestAccountsDoNotVanish checks that a configuration without accounts closes the routes of an entry that had some.
func TestAccountsDoNotVanish(t *testing.T) {
	n := New(Settings{}, Dependencies{Store: store.NewClient(&stand.Platform{}), Dialect: fakeDialect{}, Now: SteadyClock()})
	n.UseConfig(&Config{Config: sched.Config{Version: 1}})
	must.Nil(t, n.Config().Keys)
	n.UseConfig(&Config{Config: sched.Config{Version: 2}, Keys: Keys{DigestKey("k"): "one"}})
	n.UseConfig(&Config{Config: sched.Config{Version: 3}})
	must.NotNil(t, n.Config().Keys)
	_, known := n.Config().Keys.Account("k")
	must.False(t, known)
}

// TestIDsOfOtherAccounts hands in, asks for and cancels one account's job as others, through the owner, another entry and a thin owner.
func TestIDsOfOtherAccounts(t *testing.T) {
	for _, s := range []struct {
		name     string
		linkMbps float64
	}{{"Owner", 0}, {"ThinOwner", slowLinkMbps}} {
		t.Run(s.name, func(t *testing.T) {
			entryLinkMbps = s.linkMbps
			t.Cleanup(func() { entryLinkMbps = 0 })
			c, _ := newCluster(t, 2, 0)
			c.await("the second entry is linked", func() bool { return c.nodes[1].Ready() && c.linked(1) })
			for i, n := range c.nodes {
				id := []string{"a", "b"}[i]
				must.Eq(t, OutcomeDone, n.Submit(t.Context(), jobOf("one", id)).Outcome)
				for _, m := range c.nodes {
					must.Eq(t, OutcomeTaken, m.Submit(t.Context(), jobOf("two", id)).Outcome)
					must.Eq(t, reasonKnown, m.Submit(t.Context(), jobOf("one", id)).Reason)
					must.Eq(t, reasonKnown, m.Submit(t.Context(), jobOf("", id)).Reason) // the queue has become public
					must.Eq(t, OutcomeNoSuchJob, m.State(t.Context(), Caller{Account: "two", Queue: "q"}, id).Outcome)
					must.Eq(t, OutcomeNoSuchJob, m.State(t.Context(), Caller{Account: "", Queue: "other"}, id).Outcome)
					must.Eq(t, OutcomeNoSuchJob, m.Cancel(t.Context(), Caller{Account: "two", Queue: "q"}, id).Outcome)
					must.Eq(t, OutcomeDone, m.State(t.Context(), Caller{Account: "one", Queue: "other"}, id).Outcome)
				}
				c.await(id+" is completed", func() bool {
					return n.State(t.Context(), Caller{Account: "one", Queue: "q"}, id).State == sched.Completed
				})
				must.Eq(t, 3, c.fleet.count(id))
			}
			must.Eq(t, OutcomeDone, c.nodes[0].Submit(t.Context(), jobOf("", "c")).Outcome)
			must.Eq(t, reasonKnown, c.nodes[1].Submit(t.Context(), jobOf("two", "c")).Reason) // a job without an account is anybody's
		})
	}
}

// linked reports whether an entry has a link.
func (c *cluster) linked(i int) bool {
	mesh := c.nodes[i].links()
	return mesh != nil && len(mesh.Peers()) > 0
}

// TestStoredJobOfAnotherAccount: without an owner, the record that refuses the write, or that a query reads, tells whose job it is.
func TestStoredJobOfAnotherAccount(t *testing.T) {
	n := New(Settings{}, Dependencies{Store: store.NewClient(&stand.Platform{Unlimited: true}), Dialect: fakeDialect{}, Now: SteadyClock()})
	must.Eq(t, OutcomeDone, n.Submit(t.Context(), jobOf("one", "j")).Outcome)
	must.Eq(t, OutcomeTaken, n.Submit(t.Context(), jobOf("two", "j")).Outcome)
	must.Eq(t, reasonKnown, n.Submit(t.Context(), jobOf("one", "j")).Reason)
	must.Eq(t, OutcomeNoSuchJob, n.State(t.Context(), Caller{Account: "two"}, "j").Outcome)
	must.Eq(t, OutcomeNoSuchJob, n.Cancel(t.Context(), Caller{Account: "two"}, "j").Outcome)
	must.Eq(t, OutcomeDone, n.State(t.Context(), Caller{Account: "one"}, "j").Outcome)
	must.Eq(t, OutcomeDone, n.Cancel(t.Context(), Caller{Account: "one"}, "j").Outcome)
}

// TestWriteUnderWayOfAnotherAccount: two accounts hand in one id at one entry while the store is slow, and one of them gets it.
func TestWriteUnderWayOfAnotherAccount(t *testing.T) {
	b := &faultyBackend{Platform: &stand.Platform{Unlimited: true}}
	b.setWriteFaults(200*time.Millisecond, false)
	n := New(Settings{}, Dependencies{Store: store.NewClient(b), Dialect: fakeDialect{}, Now: SteadyClock()})
	verdicts := make(chan Outcome, 2)
	for _, account := range []string{"one", "two"} {
		n.background.Go(func() error {
			verdicts <- n.Submit(t.Context(), jobOf(account, "j")).Outcome
			return nil
		})
	}
	must.Eq(t, []Outcome{OutcomeDone, OutcomeTaken}, slices.Sorted(slices.Values([]Outcome{<-verdicts, <-verdicts})))
}

// TestContestedAdmission: a job admitted for two accounts is taken from the store and not from what the owner was asked.
func TestContestedAdmission(t *testing.T) {
	c, _ := newSuccessor(t)
	ask := func(f func()) {
		c.group.Go(func() error { f(); return nil })
		(<-c.events)(c.node.Now())
		must.NoError(t, c.group.Wait())
	}
	c.admitted["j"] = admission{job: jobOf("one", "j"), admittedAt: c.node.Now()}
	for _, account := range []string{"two", "two"} {
		ask(func() { must.Eq(t, outcomeAdmitted, c.admit(t.Context(), jobOf(account, "j")).Outcome) })
	}
	ask(func() { c.recordStored(t.Context(), "j", "") })
	_, known := c.state.JobState("j")
	must.False(t, known)
}

// TestReportsThroughAnyEntry asks the owner's entry and another one for the accounts and for the reasons of a job.
func TestReportsThroughAnyEntry(t *testing.T) {
	c, _ := newCluster(t, 2, 0)
	c.put(fakeOperator+"config", keyedConfig(2, "key"))
	c.await("the entries are linked and have the accounts", func() bool {
		return c.linked(1) && holdsKey(c.nodes[0], "key") && holdsKey(c.nodes[1], "key")
	})
	long := jobOf("one", "j")
	long.Steps[0].LongRunning = true
	must.Eq(t, OutcomeDone, c.nodes[1].Submit(t.Context(), long).Outcome)
	for _, n := range c.nodes {
		for path, want := range map[string][]string{accountsPath: {`"Account":"one"`, `"Weight":1`}, whyPath + "?job=j": {"Account=one Queue=q Pool=p"}, whyPath + "?job=x": {"null"}} {
			w := httptest.NewRecorder()
			n.MetricsHandler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", path, nil))
			must.Eq(t, http.StatusOK, w.Code)
			for _, part := range want {
				must.StrContains(t, w.Body.String(), part)
			}
		}
	}
}
