package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"daisysaddle/core/config"
	"daisysaddle/io/admin"
	"daisysaddle/io/crowd"
	"daisysaddle/io/stand"
	"daisysaddle/io/store"
)

const (
	crowdMemoryMB    = 64
	crowdDescriptors = 700
	callersAddress   = "127.0.18.1:8080"
	peersAddress     = "127.0.18.1:8081"
	adminAddress     = "127.0.18.1:8082"

	smallBuffer  = 4096
	largeAnswer  = 8 << 20
	storedAnswer = 8 << 10 // the largest one that is kept under a request id
	callersHead  = "POST / HTTP/1.1\r\nHost: s\r\n"
)

// serveCrowdTarget answers at once, with as much as the path says, or never.
func serveCrowdTarget(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		<-r.Context().Done()
		return
	}
	size := map[string]int{"/large": largeAnswer, "/stored": storedAnswer}[r.URL.Path]
	_, _ = io.Copy(io.Discard, r.Body) // a caller's body may be cut
	_, _ = w.Write(bytes.Repeat([]byte("a"), size))
}

// startCrowdEntry starts an entry as a process of its own with lowered limits, and waits until it is ready.
func startCrowdEntry(t *testing.T) *os.Process {
	platform := &stand.Platform{}
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.Close)
	target := httptest.NewServer(http.HandlerFunc(serveCrowdTarget))
	t.Cleanup(target.CloseClientConnections)
	text := "[Deployment]\nName = d\n[Zone z]\nRegion = r\n[Service s]\n[Pool p]\nService = s\n[Instance i]\nZone = z\nRack = r\nPool = p\nAddress = " + target.Listener.Addr().String()
	_, err := admin.Publish(t.Context(), store.NewClient(platform), 0, []config.File{{Name: "10.ini", Text: text}})
	must.NoError(t, err)
	folder := t.TempDir()
	writeFile(t, folder, "secret", "a secret of sixteen")
	program := filepath.Join(folder, "daisysaddle")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	p := exec.CommandContext(context.WithoutCancel(t.Context()), "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, crowdDescriptors), program, "entry", "--name", "e", "--deployment", "d", "--zone", "z",
		"--listen", callersAddress, "--peer-listen", peersAddress, "--admin", adminAddress, "--platform", platformServer.Listener.Addr().String(),
		"--secret-file", filepath.Join(folder, "secret"))
	p.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", crowdMemoryMB))
	must.NoError(t, p.Start())
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	for range 200 {
		if status, _ := crowdRequest(t, "GET", adminAddress, "/ready"); status == http.StatusOK {
			return p.Process
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the entry does not become ready")
	return nil
}

// crowdRequest makes one request on a connection of its own.
func crowdRequest(t *testing.T, method, address, path string) (int, error) {
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, http.NoBody)
	must.NoError(t, err)
	r.Host, r.Close = "s", true
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}

// portCrowd is a crowd of clients at one port of an entry.
type portCrowd struct {
	name          string
	address       string
	clients       int
	receiveBuffer int // of each client; zero is the system's default
	run           crowd.Client
	targetsBusy   bool // the crowd's requests run on all targets, so that others may be refused
}

// ordinary returns the answer to an ordinary request, which must be whole and either that of the target or a refusal.
func ordinary(t *testing.T) int {
	status, err := crowdRequest(t, "GET", callersAddress, "/")
	must.NoError(t, err)
	must.SliceContains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, status)
	return status
}

// awaitServed makes ordinary requests until one is served. Each of them must get an answer.
func awaitServed(t *testing.T) {
	status := 0
	for range 15 {
		if status = ordinary(t); status == http.StatusOK {
			return
		}
		time.Sleep(3 * time.Second)
	}
	t.Fatalf("status %d", status)
}

// checkCrowd runs a crowd. All the while the entry must stay within its limits, and while the crowd is there callers and operators must be served.
func checkCrowd(t *testing.T, c portCrowd) {
	p := startCrowdEntry(t)
	awaitServed(t)
	crowded := crowd.Open(t.Context(), netip.MustParseAddrPort(c.address), c.clients, c.receiveBuffer, c.run)
	defer crowded.Close()
	var most crowd.Usage
	for settled := 0; settled < 30; {
		u, err := crowd.Measure(p.Pid)
		must.NoError(t, err)
		most.Resident = max(most.Resident, u.Resident+u.Buffered)
		most.Buffered, most.Descriptors = max(most.Buffered, u.Buffered), max(most.Descriptors, u.Descriptors)
		if crowded.Settled() {
			settled++
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("at most %d MB with buffers, %d KB in buffers, %d descriptors", most.Resident>>20, most.Buffered>>10, most.Descriptors)
	must.Less(t, crowdDescriptors, most.Descriptors)
	must.LessEq(t, int64(crowdMemoryMB<<20), most.Resident)
	if c.targetsBusy {
		ordinary(t)
	} else {
		awaitServed(t)
	}
	for _, path := range []string{"/ready", "/health", "/metrics", "/status"} {
		status, err := crowdRequest(t, "GET", adminAddress, path)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status, must.Sprint(path))
	}
	crowded.Close()
	u, err := crowd.Measure(p.Pid)
	must.NoError(t, err)
	must.LessEq(t, int64(crowdMemoryMB<<20), u.Peak)
	must.NoError(t, p.Signal(syscall.Signal(0)))
	awaitServed(t)
}

// TestCrowdsOfCallers guards against callers that take an entry's memory or descriptors with legal requests that they do not finish.
func TestCrowdsOfCallers(t *testing.T) {
	for _, c := range []portCrowd{
		{"idle connections", callersAddress, 800, 0, crowd.Idle(), false},
		{"many header lines", callersAddress, 300, 0, crowd.Send(crowd.ManyHeaderLines(callersHead+"Content-Length: 10\r\n", 60<<10) + "\r\n123456789"), false},
		{"half a header", callersAddress, 300, 0, crowd.Send(crowd.ManyHeaderLines(callersHead, 60<<10)), false},
		{"whole bodies", callersAddress, 300, 0, crowd.Body(callersHead, 4<<20, 4<<20), false},
		{"bodies in pieces", callersAddress, 300, 0, crowd.Body(callersHead, 1<<20, 1024), false},
		{"large chunks", callersAddress, 300, 0, crowd.Chunks(callersHead, 1<<20, 32<<10), false},
		{"small chunks", callersAddress, 300, 0, crowd.Chunks(callersHead, 256<<10, 16), false},
		{"long bodies that hold a target", callersAddress, 20, 0, crowd.Chunks(callersHead+"Request-Timeout: 3600\r\n", 1<<20, 32<<10), false},
		{"large answers that nobody reads", callersAddress, 20, smallBuffer, crowd.Repeat("GET /large HTTP/1.1\r\nHost: s\r\nRequest-Timeout: 3600\r\n\r\n", 1), false},
		{"refusals that nobody reads", callersAddress, 300, smallBuffer, crowd.Repeat("GET / HTTP/1.1\r\nHost: unknown\r\n\r\n", 20_000), false},
		{"behind waiting requests", callersAddress, 300, 0, crowd.Repeat("GET /wait HTTP/1.1\r\nHost: s\r\nX: "+strings.Repeat("x", 30<<10)+"\r\n\r\n", 100), true},
	} {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, c) })
	}
}

// TestCrowdsAtOtherPorts guards against clients that take an entry's memory or descriptors at the ports of its peers and operators.
func TestCrowdsAtOtherPorts(t *testing.T) {
	const operators = "GET /timeline HTTP/1.1\r\nHost: s\r\n"
	for _, c := range []portCrowd{
		{"peers: idle connections", peersAddress, 800, 0, crowd.Idle(), false},
		{"peers: half a handshake", peersAddress, 400, 0, crowd.Send("\x16\x03\x01\x40\x00" + strings.Repeat("\x01", 16<<10-1)), false},
		{"operators: idle connections", adminAddress, 800, 0, crowd.Idle(), false},
		{"operators: connections kept after an answer", adminAddress, 800, 0, crowd.Send(operators + "\r\n"), false},
		{"operators: many header lines", adminAddress, 200, 0, crowd.Send(crowd.ManyHeaderLines(operators, 900<<10)), false},
		{"operators: large bodies", adminAddress, 300, 0, crowd.Body(operators, 4<<20, 32<<10), false},
		{"operators: answers that nobody reads", adminAddress, 300, smallBuffer, crowd.Repeat("GET /metrics HTTP/1.1\r\nHost: s\r\n\r\n", 5000), false},
	} {
		t.Run(c.name, func(t *testing.T) { checkCrowd(t, c) })
	}
}

// TestCrowdOfRequestIDs guards against answers that are kept under the ids of whole, legal requests.
func TestCrowdOfRequestIDs(t *testing.T) {
	run := func(_ int, c net.Conn) error {
		time.Sleep(2 * time.Second) // the entry owns new ids for certain by then
		read := make(chan error, 1)
		go func() {
			_, err := io.Copy(io.Discard, c)
			read <- err
		}()
		for range 150 {
			if _, err := fmt.Fprintf(c, "POST /stored HTTP/1.1\r\nHost: s\r\nIdempotency-Key: %s\r\nContent-Length: 0\r\n\r\n", uuid.Must(uuid.NewV7())); err != nil {
				return err
			}
		}
		_ = c.(*net.TCPConn).CloseWrite()
		return <-read
	}
	checkCrowd(t, portCrowd{"request ids", callersAddress, 100, 0, run, false})
}

// TestCrowdOfTeamsThatLeave guards against what callers leave in a queue that they joined under a name of their own and left.
func TestCrowdOfTeamsThatLeave(t *testing.T) {
	run := func(i int, c net.Conn) error {
		if i < 16 {
			_, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: s\r\nRequest-Timeout: 3600\r\n\r\n") // takes a slot
			return err
		}
		for n := range 100 {
			_, _ = fmt.Fprintf(c, "GET /wait HTTP/1.1\r\nHost: s\r\nDaisysaddle-Team: %d-%d-%s\r\n\r\n", i, n, strings.Repeat("t", 30<<10))
			time.Sleep(10 * time.Millisecond) // the entry queues it
			_ = c.Close()
			next, err := net.Dial("tcp", callersAddress)
			if err != nil {
				return nil // the entry may refuse it
			}
			defer next.Close()
			c = next
		}
		return nil
	}
	checkCrowd(t, portCrowd{"teams", callersAddress, 100, 0, run, true})
}

// TestLargestRequestIsServed checks that one request of the largest legal size of each kind is served in calm.
func TestLargestRequestIsServed(t *testing.T) {
	const head, body = 60 << 10, 64 << 20
	p := startCrowdEntry(t)
	for _, c := range []struct {
		name string
		run  crowd.Client
		end  string // of the request
	}{
		{"many header lines", crowd.Send(crowd.ManyHeaderLines("GET / HTTP/1.1\r\nHost: s\r\nConnection: close\r\n", head)), "\r\n"},
		{"a whole body", crowd.Body(callersHead+"Connection: close\r\nRequest-Timeout: 60\r\n", body, body), " "},
		{"a body in chunks", crowd.Chunks(callersHead+"Connection: close\r\nRequest-Timeout: 60\r\n", body, 32<<10), "0\r\n\r\n"},
		{"a body in small chunks", crowd.Chunks(callersHead+"Connection: close\r\nRequest-Timeout: 60\r\n", 4<<20, 16), "0\r\n\r\n"},
		{"a large answer", crowd.Send("GET /large HTTP/1.1\r\nHost: s\r\nConnection: close\r\n"), "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", callersAddress)
			must.NoError(t, err)
			defer conn.Close()
			must.NoError(t, c.run(0, conn))
			_, err = io.WriteString(conn, c.end)
			must.NoError(t, err)
			answer, err := io.ReadAll(conn)
			must.NoError(t, err)
			must.StrContains(t, string(answer[:min(len(answer), 100)]), "200 OK")
			u, err := crowd.Measure(p.Pid)
			must.NoError(t, err)
			must.LessEq(t, int64(crowdMemoryMB<<20), u.Peak)
		})
	}
}
