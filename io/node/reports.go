package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/sched"
)

// Paths of the owner's reports, on the metrics listener of each entry and between entries.
const (
	accountsPath = "/accounts" // a list of sched.AccountReport
	whyPath      = "/why"      // lines on the job that the query names
)

// serveReport answers an operator with a report of the owner, which this entry asks if it does not own the workers.
func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	if n.activeControl() != nil {
		n.serveOwnerReport(w, r)
		return
	}
	o := n.owner.Load()
	if o == nil || o.Incarnation == n.incarnation {
		http.Error(w, "the owner is not known", http.StatusServiceUnavailable)
		return
	}
	var report json.RawMessage
	if err := n.askPeer(r.Context(), o.Incarnation, http.MethodGet, r.URL.RequestURI(), ownerTimeout, nil, &report); err != nil {
		http.Error(w, "the owner does not answer: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

// serveOwnerReport answers with a report if this entry owns the workers.
func (n *Node) serveOwnerReport(w http.ResponseWriter, r *http.Request) {
	c := n.activeControl()
	if c == nil {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	report, err := c.report(r.Context(), func(now time.Time) any {
		if r.URL.Path == whyPath {
			return c.state.Explain(now, r.URL.Query().Get("job"))
		}
		return c.accounts()
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

// report runs a function on the control goroutine and returns its result, or an error when the asker or the ownership ends first.
func (c *control) report(ctx context.Context, f func(now time.Time) any) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	answer := make(chan any, 1)
	c.enqueue(func(now time.Time) { answer <- f(now) })
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "ask the control goroutine")
	case <-c.ctx.Done():
		return nil, errors.New("ownership ended")
	}
}

// accounts returns the load of all client accounts with the number of refused jobs.
func (c *control) accounts() []sched.AccountReport {
	reports := c.state.Accounts()
	for i := range reports {
		reports[i].Refused = c.refused[reports[i].Account]
	}
	return reports
}
