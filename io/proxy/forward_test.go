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

// newTwoEntries returns the servers for callers of two entries, by incarnation, and the set of owners that both form.
func newTwoEntries(t *testing.T, target *rawTarget) (map[string]*httptest.Server, OwnerSet) {
	owners := OwnerSet{Entries: []fleet.Sender{{Name: "e1", Incarnation: "e1-1"}, {Name: "e2", Incarnation: "e2-1"}}, Acknowledged: true}
	links := tcpLinks{}
	servers := make(map[string]*httptest.Server)
	for _, self := range owners.Entries {
		p, _ := newProxy(t, func(table *Table) { table.OwnerSets[""] = owners }, target.address())
		p.Self, p.Links = self, links
		p.owners.self = self
		peers := httptest.NewServer(p.PeerHandler())
		t.Cleanup(peers.Close)
		links[self.Incarnation] = peers.Listener.Addr().String()
		callers := httptest.NewServer(p)
		t.Cleanup(callers.Close)
		servers[self.Incarnation] = callers
	}
	return servers, owners
}

func TestOneIDAtTwoEntriesRunsOnce(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		for {
			if _, ok := s.readRequest(); !ok {
				return
			}
			s.respond("once")
		}
	})
	servers, _ := newTwoEntries(t, target)
	id := newID()
	for range 3 {
		for _, server := range servers {
			response, text, err := sendRequest(t, server, http.MethodPost, "x", HeaderID, id)
			must.NoError(t, err)
			must.Eq(t, string(Done), response.Header.Get(HeaderOutcome))
			must.Eq(t, "once", text)
		}
	}
	must.Eq(t, 1, target.executions.Load())
}

// TestSlowForwardedRequestIsNotASilentLink checks that a slow forwarded request is not aborted when other requests are
// answered on newer streams of the same peer link.
func TestSlowForwardedRequestIsNotASilentLink(t *testing.T) {
	unblock := make(chan struct{})
	target := newRawTarget(t, func(s *session) {
		for {
			r, ok := s.readRequest()
			if !ok {
				return
			}
			if r.Header.Get("Slow") != "" {
				<-unblock
			}
			s.respond("ok")
		}
	})
	servers, owners := newTwoEntries(t, target)
	newOwnedID := func() string {
		for {
			if id := newID(); ownerOf(owners, id) == "e2-1" {
				return id
			}
		}
	}
	_, _, err := sendRequest(t, servers["e1-1"], http.MethodPost, "warm", HeaderID, newOwnedID())
	must.NoError(t, err)
	result := make(chan string, 1)
	waiting := time.AfterFunc(0, func() {
		response, _, err := sendRequest(t, servers["e1-1"], http.MethodPost, "x", HeaderID, newOwnedID(), "Slow", "yes")
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
		_, _, err := sendRequest(t, servers["e1-1"], http.MethodPost, "x", HeaderID, newOwnedID())
		must.NoError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
	close(unblock)
	must.Eq(t, string(Done), <-result)
}

func ownerOf(owners OwnerSet, id string) string {
	owner, _ := owners.owner(id)
	return owner.Incarnation
}

func TestBrokenPeerLinkIsUnknown(t *testing.T) {
	target := newRawTarget(t, func(s *session) { s.readRequest() })
	self := fleet.Sender{Name: "e1", Incarnation: "e1-1"}
	owner := fleet.Sender{Name: "e2", Incarnation: "e2-1"}
	closingPeer := newRawTarget(t, func(s *session) { s.readRequest() }) // reads the forwarded request and closes the connection
	p, server := newProxy(t, func(table *Table) { table.OwnerSets[""] = OwnerSet{Entries: []fleet.Sender{owner}, Acknowledged: true} }, target.address())
	p.Self, p.Links = self, tcpLinks{"e2-1": closingPeer.address().String()}
	response, _, err := sendRequest(t, server, http.MethodPost, "x", HeaderID, newID())
	must.NoError(t, err)
	must.Eq(t, string(Unknown), response.Header.Get(HeaderOutcome))
	must.Eq(t, 1, closingPeer.executions.Load())
	must.Zero(t, target.executions.Load())
}

// TestConnectionOptionsCannotDropTheRequestID guards against a Connection header that names the id header: the entry that
// forwards the request would remove the id before the owner sees it.
func TestConnectionOptionsCannotDropTheRequestID(t *testing.T) {
	target := newRawTarget(t, func(s *session) {
		for {
			if _, ok := s.readRequest(); !ok {
				return
			}
			s.respond("once")
		}
	})
	servers, _ := newTwoEntries(t, target)
	id := newID()
	for range 2 {
		for _, server := range servers {
			_, _, err := sendRequest(t, server, http.MethodPost, "x", HeaderID, id, "Connection", HeaderID)
			must.NoError(t, err)
		}
	}
	must.Eq(t, 1, target.executions.Load())
}
