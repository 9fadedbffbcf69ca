package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"daisysaddle/core/config"
	"daisysaddle/core/event"
	"daisysaddle/core/fleet"
	"daisysaddle/core/route"
)

// rawTarget is a fake target that writes raw bytes to TCP connections.
type rawTarget struct {
	listener   net.Listener
	executions atomic.Int64
	conns      atomic.Int64
	group      errgroup.Group
	openConns  sync.Map
}

// session is a connection to a rawTarget.
type session struct {
	net.Conn
	target *rawTarget
	reader *bufio.Reader
	number int64
}

// readRequest reads a complete request, counts it as executed and reports whether there was one.
func (s *session) readRequest() (*http.Request, bool) {
	r, err := http.ReadRequest(s.reader)
	if err != nil {
		return nil, false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, false
	}
	s.target.executions.Add(1)
	return r, true
}

func (s *session) respond(text string) {
	fmt.Fprintf(s, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func newRawTarget(t *testing.T, serve func(*session)) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	target := &rawTarget{listener: l}
	target.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			target.openConns.Store(c, true)
			s := &session{Conn: c, target: target, reader: bufio.NewReader(c), number: target.conns.Add(1)}
			target.group.Go(func() error {
				defer c.Close()
				serve(s)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		target.openConns.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
		_ = target.group.Wait()
	})
	return target
}

func (r *rawTarget) address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

type noLinks struct{}

func (noLinks) Open(fleet.Sender) (net.Conn, error) { return nil, net.ErrClosed }

const testService = "plans"

// newProxy returns the proxy of an entry with the given targets, and a server for callers.
func newProxy(t *testing.T, configure func(*Table), targets ...netip.AddrPort) (*Proxy, *httptest.Server) {
	self := fleet.Sender{Name: "e1", Incarnation: "e1-1"}
	p := New(self, "z", noLinks{}, func(event.Event) {})
	table := Table{
		Ready:     true,
		Policies:  config.Policies{Admission: "FairQueue", Routing: "LeastLoaded", Sharing: "Static"},
		OwnerSets: map[string]OwnerSet{"": {Entries: []fleet.Sender{self}, Acknowledged: true}},
		IDWindow:  time.Minute,
	}
	r := Route{Service: config.Service{Name: testService, Deadline: 5 * time.Second, QueueLimit: 10, RetryShare: 100, SilenceTimeout: 30 * time.Millisecond}, Pool: "p"}
	for i, address := range targets {
		r.Targets = append(r.Targets, TargetSpec{
			Instance: config.Instance{Name: fmt.Sprintf("i%d", i), Address: address, Connections: 64},
			Accepts:  true,
			Share:    route.ShareSettings{Slots: 8, Entries: 1},
		})
	}
	table.Routes = []Route{r}
	if configure != nil {
		configure(&table)
	}
	must.NoError(t, p.Update(time.Now(), table))
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server
}

// sendRequest sends a request to the proxy and returns the response and its body.
func sendRequest(t *testing.T, server *httptest.Server, method, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, server.URL+"/x", strings.NewReader(body))
	must.NoError(t, err)
	r.Header.Set(HeaderService, testService)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := server.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func newID() string { return uuid.Must(uuid.NewV7()).String() }
