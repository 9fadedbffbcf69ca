package proxy

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"daisysaddle/core/fleet"
)

// tcpLinks opens TCP connections to the peer handlers of other entries in place of yamux streams.
type tcpLinks map[string]string

func (l tcpLinks) Open(to fleet.Sender) (net.Conn, error) {
	return net.Dial("tcp", l[to.Incarnation])
}

// twoEntries returns two entries that share a ring, with their callers' servers.
func twoEntries(t *testing.T, target *rawTarget) (map[string]*httptest.Server, Ring) {
	ring := Ring{Nodes: []fleet.Sender{{Name: "e1", Incarnation: "e1-1"}, {Name: "e2", Incarnation: "e2-1"}}, Settled: true}
	links := tcpLinks{}
	servers := make(map[string]*httptest.Server)
	for _, self := range ring.Nodes {
		p, _ := newProxy(t, func(table *Table) { table.Rings[""] = ring }, target.address())
		p.Self, p.Links = self, links
		p.owners.self = self
		peers := httptest.NewServer(p.PeerHandler())
		t.Cleanup(peers.Close)
		links[self.Incarnation] = peers.Listener.Addr().String()
		callers := httptest.NewServer(p)
		t.Cleanup(callers.Close)
		servers[self.Incarnation] = callers
	}
	return servers, ring
}

func TestOneIDAtTwoEntriesRunsOnce(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		for {
			if _, ok := s.request(); !ok {
				return
			}
			s.answer("once")
		}
	})
	servers, _ := twoEntries(t, target)
	id := newID()
	for range 3 {
		for _, server := range servers {
			response, text, err := ask(t, server, http.MethodPost, "x", HeaderID, id)
			must.NoError(t, err)
			must.Eq(t, string(Done), response.Header.Get(HeaderOutcome))
			must.Eq(t, "once", text)
		}
	}
	must.Eq(t, 1, target.executions.Load())
}

// TestSlowTargetBehindAnOwnerIsNotASilentLink keeps a forwarded request waiting while others
// answer on newer streams of the same link.
func TestSlowTargetBehindAnOwnerIsNotASilentLink(t *testing.T) {
	slow := make(chan struct{})
	target := newRawTarget(t, func(s *session) {
		for {
			r, ok := s.request()
			if !ok {
				return
			}
			if r.Header.Get("Slow") != "" {
				<-slow
			}
			s.answer("ok")
		}
	})
	servers, ring := twoEntries(t, target)
	owned := func() string {
		for {
			if id := newID(); ownerOf(ring, id) == "e2-1" {
				return id
			}
		}
	}
	_, _, err := ask(t, servers["e1-1"], http.MethodPost, "warm", HeaderID, owned())
	must.NoError(t, err)
	result := make(chan string, 1)
	waiting := time.AfterFunc(0, func() {
		response, _, err := ask(t, servers["e1-1"], http.MethodPost, "x", HeaderID, owned(), "Slow", "yes")
		if err != nil {
			result <- err.Error()
			return
		}
		result <- response.Header.Get(HeaderOutcome)
	})
	defer waiting.Stop()
	for target.executions.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	for range 20 {
		_, _, err := ask(t, servers["e1-1"], http.MethodPost, "x", HeaderID, owned())
		must.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	close(slow)
	must.Eq(t, string(Done), <-result)
}

func ownerOf(r Ring, id string) string {
	owner, _ := r.owner(id)
	return owner.Incarnation
}

func TestLinkCutInTheMiddleIsUnknown(t *testing.T) {
	target := newRawTarget(t, func(s *session) { s.request() })
	self := fleet.Sender{Name: "e1", Incarnation: "e1-1"}
	owner := fleet.Sender{Name: "e2", Incarnation: "e2-1"}
	cut := newRawTarget(t, func(s *session) { s.request() }) // reads the forwarded request and closes
	p, server := newProxy(t, func(table *Table) { table.Rings[""] = Ring{Nodes: []fleet.Sender{owner}, Settled: true} }, target.address())
	p.Self, p.Links = self, tcpLinks{"e2-1": cut.address().String()}
	response, _, err := ask(t, server, http.MethodPost, "x", HeaderID, newID())
	must.NoError(t, err)
	must.Eq(t, string(Unknown), response.Header.Get(HeaderOutcome))
	must.Eq(t, 1, cut.executions.Load())
	must.Zero(t, target.executions.Load())
}

// TestConnectionOptionsCannotDropTheRequestID names the id as a connection option, which a forwarding
// entry would otherwise strip before the owner sees it.
func TestConnectionOptionsCannotDropTheRequestID(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		for {
			if _, ok := s.request(); !ok {
				return
			}
			s.answer("once")
		}
	})
	servers, _ := twoEntries(t, target)
	id := newID()
	for range 2 {
		for _, server := range servers {
			_, _, err := ask(t, server, http.MethodPost, "x", HeaderID, id, "Connection", HeaderID)
			must.NoError(t, err)
		}
	}
	must.Eq(t, 1, target.executions.Load())
}
