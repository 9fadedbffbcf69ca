package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/fleet"
)

// TestTargetClosesConnection checks that the outcome told to the caller agrees with what the target executed.
func TestTargetClosesConnection(t *testing.T) {
	cases := []struct {
		name       string
		method     string
		serve      func(*session)
		outcomes   []Outcome
		executions int64
	}{
		{"before reading", http.MethodPost, func(*session) {}, []Outcome{Unknown, NotRun}, 0},
		{"while reading", http.MethodPost, func(s *session) { _, _ = s.reader.ReadByte() }, []Outcome{Unknown}, 0},
		{"after reading a request that is not idempotent", http.MethodPost, func(s *session) { s.readRequest() }, []Outcome{Unknown}, 1},
		{"once after reading an idempotent request", http.MethodPut, func(s *session) {
			if _, ok := s.readRequest(); ok && s.number > 1 {
				s.respond("second")
			}
		}, []Outcome{Done}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newRawTarget(t, c.serve)
			_, server := newProxy(t, nil, target.address())
			response, _, err := sendRequest(t, server, c.method, "body")
			must.NoError(t, err)
			must.SliceContains(t, c.outcomes, Outcome(response.Header.Get(HeaderOutcome)))
			must.Eq(t, c.executions, target.executions.Load())
		})
	}
}

func TestRefusedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := l.Addr().(*net.TCPAddr).AddrPort()
	must.NoError(t, l.Close())
	_, server := newProxy(t, nil, address)
	response, _, err := sendRequest(t, server, http.MethodPost, "body", HeaderID, newID())
	must.NoError(t, err)
	must.Eq(t, string(NotRun), response.Header.Get(HeaderOutcome))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))
}

func TestTruncatedResponseIsReported(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
		{"with length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newRawTarget(t, func(s *session) {
				if _, ok := s.readRequest(); ok {
					_, _ = io.WriteString(s, c.answer)
				}
			})
			_, server := newProxy(t, nil, target.address())
			_, _, err := sendRequest(t, server, http.MethodPost, "body")
			must.Error(t, err)
		})
	}
}

// TestBrokenReusedConnectionRunsAtMostOnce guards against the retries that net/http makes by itself when a reused
// connection breaks.
func TestBrokenReusedConnectionRunsAtMostOnce(t *testing.T) {
	cases := []struct{ name, body string }{{"empty body", ""}, {"with a body", "charge"}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newRawTarget(t, func(s *session) {
				if _, ok := s.readRequest(); !ok {
					return
				}
				s.respond("first")
				s.readRequest() // the second request runs, but the connection breaks before its response
			})
			_, server := newProxy(t, nil, target.address())
			_, _, err := sendRequest(t, server, http.MethodPut, "warm")
			must.NoError(t, err)
			response, _, err := sendRequest(t, server, http.MethodPost, c.body, HeaderID, newID())
			must.NoError(t, err)
			must.Eq(t, string(Unknown), response.Header.Get(HeaderOutcome))
			must.Eq(t, 2, target.executions.Load())
		})
	}
}

func TestUnsolicitedBytesDoNotReachNextCaller(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		for {
			r, ok := s.readRequest()
			if !ok {
				return
			}
			own := r.Header.Get("Own")
			fmt.Fprintf(s, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", len(own), own)
		}
	})
	_, server := newProxy(t, nil, target.address())
	for i := range 200 {
		own := fmt.Sprintf("own%d", i)
		response, text, err := sendRequest(t, server, http.MethodPut, "", "Own", own)
		if err == nil && response.Header.Get(HeaderOutcome) == string(Done) {
			must.Eq(t, own, text)
		}
	}
}

func TestResponseToOtherRequestIsRejected(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		if _, ok := s.readRequest(); ok {
			_, _ = io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+HeaderAttempt+": another\r\n\r\nother")
		}
	})
	_, server := newProxy(t, nil, target.address())
	response, text, err := sendRequest(t, server, http.MethodPost, "body")
	must.NoError(t, err)
	must.Eq(t, string(Unknown), response.Header.Get(HeaderOutcome))
	must.StrNotContains(t, text, "other")
}

func TestLateResponseIsDiscarded(t *testing.T) {
	release := make(chan struct{})
	target := newRawTarget(t, func(s *session) {
		for {
			r, ok := s.readRequest()
			if !ok {
				return
			}
			if r.Header.Get("Slow") != "" {
				<-release
			}
			s.respond(r.Header.Get("Own"))
		}
	})
	_, server := newProxy(t, nil, target.address())
	response, _, err := sendRequest(t, server, http.MethodPost, "x", "Slow", "yes", "Own", "late", HeaderTimeout, "0.05")
	must.NoError(t, err)
	must.Eq(t, http.StatusGatewayTimeout, response.StatusCode)
	must.Eq(t, string(Unknown), response.Header.Get(HeaderOutcome))
	close(release)
	_, text, err := sendRequest(t, server, http.MethodPost, "x", "Own", "mine")
	must.NoError(t, err)
	must.Eq(t, "mine", text)
}

// TestSilentConnectionIsAborted checks that a request on a connection that turned silent after its first response is
// retried on another one, and that the target isn't ejected for it.
func TestSilentConnectionIsAborted(t *testing.T) {
	unblock := make(chan struct{})
	defer close(unblock)
	target := newRawTarget(t, func(s *session) {
		for n := 0; ; n++ {
			r, ok := s.readRequest()
			if !ok {
				return
			}
			if s.number == 1 && n > 0 {
				<-unblock // the connection is silent from its second request on
				return
			}
			s.respond(r.Header.Get("Own"))
		}
	})
	p, server := newProxy(t, nil, target.address())
	_, _, err := sendRequest(t, server, http.MethodPut, "", "Own", "warm")
	must.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		_, text, err := sendRequest(t, server, http.MethodPut, "", "Own", "stuck")
		if err == nil && text != "stuck" {
			err = fmt.Errorf("got %q", text)
		}
		return err
	})
	for target.executions.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	for p.Counters()[testService].Silent == 0 {
		_, text, err := sendRequest(t, server, http.MethodPut, "", "Own", "fresh")
		must.NoError(t, err)
		must.Eq(t, "fresh", text)
	}
	must.NoError(t, group.Wait())
	must.Zero(t, p.Counters()[testService].Ejections)
}

func TestRepeatedIDGetsFirstResponse(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		for {
			if _, ok := s.readRequest(); !ok {
				return
			}
			s.respond(fmt.Sprintf("run %d", s.target.executions.Load()))
		}
	})
	_, server := newProxy(t, nil, target.address())
	id := newID()
	for range 3 {
		response, text, err := sendRequest(t, server, http.MethodPost, "x", HeaderID, id)
		must.NoError(t, err)
		must.Eq(t, "run 1", text)
		must.Eq(t, string(Done), response.Header.Get(HeaderOutcome))
	}
	must.Eq(t, 1, target.executions.Load())
}

func TestConcurrentAttemptsWithOneIDRunOnce(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		for {
			if _, ok := s.readRequest(); !ok {
				return
			}
			s.respond("ok")
		}
	})
	_, server := newProxy(t, nil, target.address())
	id := newID()
	var group errgroup.Group
	for range 16 {
		group.Go(func() error {
			_, _, err := sendRequest(t, server, http.MethodPost, "x", HeaderID, id)
			return err
		})
	}
	must.NoError(t, group.Wait())
	must.Eq(t, 1, target.executions.Load())
}

// TestUncertainIDs checks that a request with an id that may have run on another owner is neither run nor reported as NotRun.
func TestUncertainIDs(t *testing.T) {
	self := fleet.Sender{Name: "e1", Incarnation: "e1-1"}
	other := fleet.Sender{Name: "e2", Incarnation: "e2-1"}
	cases := []struct {
		name string
		ring OwnerSet
		id   func() string
	}{
		{"owner set not acknowledged", OwnerSet{Entries: []fleet.Sender{self}}, newID},
		{"owner unreachable", OwnerSet{Entries: []fleet.Sender{other}, Acknowledged: true}, newID},
		{"issued before this entry owned it", OwnerSet{Entries: []fleet.Sender{self}, Acknowledged: true, Since: time.Now().Add(time.Hour)}, newID},
		{"without a time, soon after a change of owner", OwnerSet{Entries: []fleet.Sender{self}, Acknowledged: true, Since: time.Now()}, func() string { return "order-17" }},
		{"older than the id window", OwnerSet{Entries: []fleet.Sender{self}, Acknowledged: true}, func() string { return "01890000-0000-7000-8000-000000000000" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			target := newRawTarget(t, func(s *session) { s.readRequest() })
			_, server := newProxy(t, func(table *Table) { table.OwnerSets[""] = c.ring }, target.address())
			response, _, err := sendRequest(t, server, http.MethodPost, "x", HeaderID, c.id())
			must.NoError(t, err)
			must.Eq(t, string(Unknown), response.Header.Get(HeaderOutcome))
			must.Zero(t, target.executions.Load())
		})
	}
}

func TestRetryBudgetBoundsLoad(t *testing.T) {
	const offered = 200
	serve := func(s *session) {
		for {
			if _, ok := s.readRequest(); !ok {
				return
			}
			_, _ = io.WriteString(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"+HeaderOutcome+": NotRun\r\n\r\n")
		}
	}
	a, b := newRawTarget(t, serve), newRawTarget(t, serve)
	_, server := newProxy(t, func(table *Table) { table.Routes[0].Service.RetryShare = 10 }, a.address(), b.address())
	for range offered {
		response, _, err := sendRequest(t, server, http.MethodPost, "x")
		must.NoError(t, err)
		must.Eq(t, string(NotRun), response.Header.Get(HeaderOutcome))
	}
	must.LessEq(t, offered*1.2, float64(a.executions.Load()+b.executions.Load()))
}

func TestNonAcceptingTargetGetsNoNewRequests(t *testing.T) {
	unblock := make(chan struct{})
	target := newRawTarget(t, func(s *session) {
		if _, ok := s.readRequest(); ok {
			<-unblock
			s.respond("whole")
		}
	})
	var table Table
	p, server := newProxy(t, func(configured *Table) { table = *configured }, target.address())
	var group errgroup.Group
	group.Go(func() error {
		_, text, err := sendRequest(t, server, http.MethodPost, "x")
		if text != "whole" {
			return fmt.Errorf("got %q: %w", text, err)
		}
		return err
	})
	for target.executions.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	table.Routes[0].Targets[0].Accepts = false
	must.NoError(t, p.Update(time.Now(), table))
	must.Eq(t, map[string]int{"i0": 1}, p.InFlightNotAccepting())
	response, _, err := sendRequest(t, server, http.MethodPost, "x")
	must.NoError(t, err)
	must.Eq(t, string(NotRun), response.Header.Get(HeaderOutcome))
	close(unblock)
	must.NoError(t, group.Wait())
	must.MapEmpty(t, p.InFlightNotAccepting())
	must.Eq(t, 1, target.executions.Load())
}

func TestInformationalResponsesAndTrailersAreForwarded(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		if _, ok := s.readRequest(); ok {
			_, _ = io.WriteString(s, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nSum: 17\r\n\r\n")
		}
	})
	_, server := newProxy(t, nil, target.address())
	response, text, err := sendRequest(t, server, http.MethodPost, "x")
	must.NoError(t, err)
	must.Eq(t, "hello", text)
	must.Eq(t, "17", response.Trailer.Get("Sum"))
	must.Eq(t, "", response.Header.Get("Link"))
}

// TestMassCancellationDoesNotStallAdmission checks that a request is served after the deadlines of many queued ones have passed.
func TestMassCancellationDoesNotStallAdmission(t *testing.T) {
	unblock := make(chan struct{})
	target := newRawTarget(t, func(s *session) {
		for {
			if _, ok := s.readRequest(); !ok {
				return
			}
			<-unblock
			s.respond("ok")
		}
	})
	_, server := newProxy(t, func(table *Table) {
		table.Routes[0].Service.QueueLimit = 1000
		table.Routes[0].Targets[0].Share.Slots = 1
	}, target.address())
	var first, canceled errgroup.Group
	first.Go(func() error { _, _, err := sendRequest(t, server, http.MethodPut, ""); return err })
	for target.executions.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 300 {
		canceled.Go(func() error {
			response, _, err := sendRequest(t, server, http.MethodPost, "x", HeaderTimeout, "0.1")
			if err == nil && response.Header.Get(HeaderOutcome) != string(NotRun) {
				err = fmt.Errorf("outcome %s", response.Header.Get(HeaderOutcome))
			}
			return err
		})
	}
	must.NoError(t, canceled.Wait())
	close(unblock)
	must.NoError(t, first.Wait())
	_, text, err := sendRequest(t, server, http.MethodPut, "")
	must.NoError(t, err)
	must.Eq(t, "ok", text)
	must.Eq(t, 2, target.executions.Load())
}

// TestSilentConnectionHoldsNoSlot checks that a request that may not run again and waits on a silent connection holds
// no slot, so that other requests are served, and still counts as in flight.
func TestSilentConnectionHoldsNoSlot(t *testing.T) {
	unblock := make(chan struct{})
	target := newRawTarget(t, func(s *session) {
		for n := 0; ; n++ {
			r, ok := s.readRequest()
			if !ok {
				return
			}
			if s.number == 1 && n > 0 {
				<-unblock
				return
			}
			s.respond(r.Header.Get("Own"))
		}
	})
	var table Table
	p, server := newProxy(t, func(configured *Table) {
		configured.Routes[0].Targets[0].Share.Slots = 2
		table = *configured
	}, target.address())
	_, _, err := sendRequest(t, server, http.MethodPut, "", "Own", "warm")
	must.NoError(t, err)
	var stuck errgroup.Group
	stuck.Go(func() error {
		_, _, err := sendRequest(t, server, http.MethodPost, "x")
		return err
	})
	for target.executions.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	d := p.dispatchers[testService]
	silent := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.flow.Targets[0].Silent
	}
	for silent() == 0 {
		_, text, err := sendRequest(t, server, http.MethodPut, "", "Own", "fresh")
		must.NoError(t, err)
		must.Eq(t, "fresh", text)
	}
	table.Routes[0].Targets[0].Accepts = false
	must.NoError(t, p.Update(time.Now(), table))
	must.Eq(t, map[string]int{"i0": 1}, p.InFlightNotAccepting())
	close(unblock)
	must.NoError(t, stuck.Wait())
	must.Zero(t, silent())
	must.MapEmpty(t, p.InFlightNotAccepting())
}
