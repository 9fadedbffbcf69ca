package guard

import (
	"container/heap"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrBusy is returned by reads of a body for which the budget has no room.
var ErrBusy = errors.New("unfinished requests of other callers take all the memory that is set aside for them")

// stallTime is the time without progress after which a connection may be closed for the sake of others; a sender that is served at all
// makes progress several times in it.
const stallTime = 500 * time.Millisecond

// Guard applies limits to the connections of one server. It is safe for concurrent use.
type Guard struct {
	// Observe, if set before the guard is used, is called for each connection that the guard closes or refuses. It must not call the guard.
	Observe func(Event)

	limits   Limits
	now      func() time.Time
	mu       sync.Mutex
	conns    map[*conn]bool
	stalls   [stallClasses]stallHeap
	charged  int64 // sum of the charges of all connections
	requests int   // that handlers work on
}

// Event is what a guard did for lack of room.
type Event struct {
	Kind        string // one of the kinds below
	Connections int    // open at the time
	Requests    int    // that handlers worked on
	Charged     int64  // bytes charged to the connections
}

// Kinds of events.
const (
	Evicted           = "Evicted"           // a connection that kept its server waiting was closed
	ConnectionRefused = "ConnectionRefused" // a new connection was closed
	ReadRefused       = "ReadRefused"       // header lines or a part of a body were not read
	RequestRefused    = "RequestRefused"    // a whole header was answered with a refusal
	BuffersUnset      = "BuffersUnset"      // the system refused to limit its buffers
)

// New returns a guard with the limits, of which zero sets none, and a clock.
func New(l Limits, now func() time.Time) *Guard {
	return &Guard{limits: l, now: now, conns: make(map[*conn]bool)}
}

// observe reports an event.
func (g *Guard) observe(kind string) {
	if g.Observe != nil {
		g.Observe(Event{kind, len(g.conns), g.requests, g.charged})
	}
}

// Listen returns a listener whose connections count against the limits.
func (g *Guard) Listen(l net.Listener) net.Listener {
	g.limitBuffers(l)
	return &listener{l, g}
}

// limitBuffers divides the limit of the system's buffers among the connections, which inherit theirs from the listener.
func (g *Guard) limitBuffers(l net.Listener) {
	tcp, is := l.(*net.TCPListener)
	if !is || g.limits.Buffers == 0 || g.limits.Connections == 0 {
		return
	}
	size := int(g.limits.Buffers / int64(g.limits.Connections) / bufferGrowth)
	if err := setBuffers(tcp, size); err != nil {
		g.observe(BuffersUnset)
	}
}

// setBuffers sets the sizes of a socket's buffers.
func setBuffers(c syscall.Conn, size int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var receiveErr, sendErr error
	err = raw.Control(func(fd uintptr) {
		receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
	})
	return errors.CombineErrors(err, errors.CombineErrors(receiveErr, sendErr))
}

// listener counts connections when they are accepted.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection. Beyond the limit it closes the one that has made no progress for the longest time, or the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, guard: l.guard, inHeader: true}
		if l.guard.add(c) {
			return c, nil
		}
		_ = accepted.Close() // the caller sees the end of the connection
	}
}

// add adds a connection and reports whether there is room for it.
func (g *Guard) add(c *conn) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Connections > 0 && len(g.conns) >= g.limits.Connections && !g.evictOne(now, anyClass) {
		g.observe(ConnectionRefused)
		return false
	}
	c.progressAt, c.reading = now, true
	g.conns[c] = true
	g.place(c)
	return true
}

// receive records that bytes have come on a connection, charges their cost, and reports whether the budget has room for it.
func (g *Guard) receive(c *conn, bytes int, cost int64) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.arrived += bytes; c.arrived >= progressBytes {
		c.arrived, c.progressAt = 0, now
		g.place(c)
	}
	return g.charge(now, c, cost, g.limits.Bytes)
}

// bodyBudget returns the part of the budget that bodies may take, so that a short header finds room beside them.
func (g *Guard) bodyBudget() int64 { return g.limits.Bytes - g.limits.Bytes/headerPart }

// charge charges bytes of memory to a connection, and reports whether a budget has room for them.
func (g *Guard) charge(now time.Time, c *conn, bytes, budget int64) bool {
	if !g.conns[c] {
		return c.released // otherwise it was evicted
	}
	if bytes == 0 {
		return true
	}
	g.withdraw(c) // it must not give way to itself
	defer g.place(c)
	for g.limits.Bytes > 0 && g.charged+bytes > budget {
		if !g.evictOne(now, chargedClass) {
			g.observe(ReadRefused)
			return false
		}
	}
	c.charged += bytes
	g.charged += bytes
	return true
}

// begin records that a handler begins to work on a request of the connection, and reports whether there is room for it.
func (g *Guard) begin(c *conn, keepCharge bool) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.conns[c] {
		return true // its connection was evicted; nobody reads the answer
	}
	if !keepCharge {
		g.discharge(c)
	}
	c.arrived, c.progressAt, c.pausedAt = 0, now, now
	c.inHeader, c.reading = false, false
	g.place(c)
	if g.limits.Requests > 0 && g.requests >= g.limits.Requests && !g.evictOne(now, workingClass) {
		g.observe(RequestRefused)
		return false
	}
	c.working = true
	g.requests++
	g.place(c)
	return true
}

// end records that the handler is done. If a rest of the body is to come, the server reads it.
func (g *Guard) end(c *conn, rest bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.working {
		c.working = false
		g.requests--
	}
	if rest {
		c.reading, c.progressAt = true, now
	}
	g.place(c)
}

// idle records that a request was answered, and returns what it was charged.
func (g *Guard) idle(c *conn) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.discharge(c)
	c.arrived, c.reading, c.inHeader, c.progressAt = 0, true, true, now
	g.place(c)
}

// wait records whether the connection waits for its caller to send or, with writing, to receive. The time in which it did not is no time
// without progress.
func (g *Guard) wait(c *conn, waits, writing bool) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := c.waits()
	switch {
	case !writing:
		c.reading = waits
	case waits:
		c.writing++
	default:
		c.writing--
		c.progressAt = now // the caller took what was written
	}
	switch after := c.waits(); {
	case before && !after:
		c.pausedAt = now
	case !before && after:
		c.progressAt = c.progressAt.Add(now.Sub(c.pausedAt))
	}
	g.place(c)
}

// evictOne closes the connection of the classes that has made no progress for the longest time, and reports whether there was one.
func (g *Guard) evictOne(now time.Time, of stallClass) bool {
	var worst *conn
	for class := range stallClass(stallClasses) {
		if h := g.stalls[class]; class&of == of && len(h) > 0 && (worst == nil || h[0].progressAt.Before(worst.progressAt)) {
			worst = h[0]
		}
	}
	if worst == nil || now.Sub(worst.progressAt) < stallTime {
		return false
	}
	g.observe(Evicted)
	g.remove(worst)
	_ = worst.Conn.Close() // the caller sees the end of the connection
	return true
}

// discharge returns what a connection was charged.
func (g *Guard) discharge(c *conn) {
	g.charged -= c.charged
	c.charged = 0
}

// remove forgets a connection that ends.
func (g *Guard) remove(c *conn) {
	if !g.conns[c] {
		return
	}
	g.withdraw(c)
	delete(g.conns, c)
	g.discharge(c)
	if c.working {
		c.working = false
		g.requests--
	}
}

// Release takes a connection out of the limits while it stays open.
func (g *Guard) Release(c net.Conn) {
	guarded, is := c.(*conn)
	if !is {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(guarded)
	guarded.released = true
}

// stallClass tells what a connection that waits for its caller holds.
type stallClass int

const (
	chargedClass stallClass = 1 << iota // bytes of the budget
	workingClass                        // a handler
	stallClasses = iota * 2
	anyClass     = stallClass(0)
)

// place puts a connection where evictOne finds it, if it waits for its caller.
func (g *Guard) place(c *conn) {
	g.withdraw(c)
	if !g.conns[c] || !c.waits() {
		return
	}
	class := anyClass
	if c.charged > 0 {
		class |= chargedClass
	}
	if c.working {
		class |= workingClass
	}
	c.stalls = &g.stalls[class]
	heap.Push(c.stalls, c)
}

// withdraw undoes place.
func (g *Guard) withdraw(c *conn) {
	if c.stalls != nil {
		heap.Remove(c.stalls, c.index)
		c.stalls = nil
	}
}

// stallHeap is a heap of connections by the time of their last progress, so that finding the one that gives way takes no scan.
type stallHeap []*conn

func (h stallHeap) Len() int { return len(h) }

func (h stallHeap) Less(i, j int) bool { return h[i].progressAt.Before(h[j].progressAt) }

func (h stallHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a connection.
func (h *stallHeap) Push(x any) {
	c := x.(*conn)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop removes the last connection.
func (h *stallHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}
