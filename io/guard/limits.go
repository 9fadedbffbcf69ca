package guard

import (
	"math"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Limits bounds what the callers of a server take together. Zero sets no limit.
type Limits struct {
	Connections int   // open connections
	Requests    int   // requests that a handler works on
	Bytes       int64 // memory of header lines and bodies
	Buffers     int64 // in each direction, of the system's buffers of all connections
	BodyKept    int64 // of one body, what its handler keeps; zero means all of it
}

const (
	memoryPart          = 12 // one part in this many of a process's memory is for header lines and bodies; a collected heap may take twice as much
	requestPart         = 16 // and one part in this many for requests that handlers work on
	bufferPart          = 16
	bufferGrowth        = 2 // Linux lets a buffer hold this many times the size that it is set to
	connectionPart      = 8
	connectionBytes     = 20 << 10
	requestBytes        = 64 << 10
	heapDivisor         = 5        // one part in this many of the memory is left
	outsideBytes        = 24 << 20 // at least
	reservedDescriptors = 200      // for files
	descriptorPart      = 2        // one part in this many of the other descriptors is for callers
	headerPart          = 8        // one part in this many of the memory for header lines and bodies is for header lines alone
	headerLineBytes     = 200      // memory of a parsed header line beyond its text
	bodyGrowth          = 2        // a body that is read takes up to this many times its size
)

// ForProcess returns the limits for the callers of a process with so many bytes of memory and descriptors. Zero is unknown, and sets no limit.
func ForProcess(memory int64, descriptors int) Limits {
	l := Limits{
		Bytes: memory / memoryPart, Buffers: memory / bufferPart,
		Connections: int(memory / connectionPart / connectionBytes), Requests: int(memory / requestPart / requestBytes),
	}
	if most := (descriptors - reservedDescriptors) / descriptorPart; descriptors > 0 && (l.Connections == 0 || most < l.Connections) {
		l.Connections = max(1, most)
	}
	return l
}

// Part returns one part in n of the limits, for a server beside that of the callers. A limit does not become zero by it.
func (l Limits) Part(n int) Limits {
	part := func(v int64) int64 { return min(v, max(1, v/int64(n))) }
	return Limits{
		Connections: int(part(int64(l.Connections))), Requests: int(part(int64(l.Requests))),
		Bytes: part(l.Bytes), Buffers: part(l.Buffers), BodyKept: l.BodyKept,
	}
}

// Unproved returns one part in n of the limits, for connections whose peers have not proved who they are. The system's buffers are not limited,
// since the connections carry links afterwards, which need all that they can get.
func (l Limits) Unproved(n int) Limits {
	p := l.Part(n)
	p.Buffers = 0
	return p
}

// Forwarded returns the limits of the requests that trusted processes forward. Their connections are not limited, since one that is closed may
// carry a request whose outcome is then unknown.
func (l Limits) Forwarded() Limits {
	return Limits{Requests: l.Requests, Bytes: l.Bytes, BodyKept: l.BodyKept}
}

// HeapLimit returns the limit for the collector of a process with so much memory. It leaves room for what lies outside the heap: the program
// itself and the system's buffers.
func HeapLimit(memory int64) int64 {
	return min(memory/heapDivisor*(heapDivisor-1), max(memory/2, memory-outsideBytes))
}

// OwnMemory returns the memory that the process may take: the limit that the Go runtime was given in GOMEMLIMIT, or else the lower one of its
// control group's limit and the machine's memory. It returns zero if none is known.
func OwnMemory() int64 {
	if given := debug.SetMemoryLimit(-1); given < math.MaxInt64 {
		return given
	}
	memory := int64(0)
	var machine unix.Sysinfo_t
	if unix.Sysinfo(&machine) == nil {
		memory = int64(uint64(machine.Totalram) * uint64(machine.Unit))
	}
	if group := groupMemory("/proc/self/cgroup", "/sys/fs/cgroup"); group > 0 && (memory == 0 || group < memory) {
		memory = group
	}
	return memory
}

// groupMemory returns the memory limit of the control group that a list of groups names, or zero if there is none.
func groupMemory(list, root string) int64 {
	const decimal, bits = 10, 64
	text, err := os.ReadFile(list)
	if err != nil {
		return 0 // the system has no control groups
	}
	least := int64(0)
	for line := range strings.Lines(string(text)) {
		parts := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(parts) < 3 || parts[1] != "" && parts[1] != "memory" {
			continue
		}
		for _, name := range []string{filepath.Join(root, parts[2], "memory.max"), filepath.Join(root, "memory", parts[2], "memory.limit_in_bytes")} {
			limit, _ := os.ReadFile(name) // one of both may exist
			if n, err := strconv.ParseInt(strings.TrimSpace(string(limit)), decimal, bits); err == nil && n > 0 && (least == 0 || n < least) {
				least = n
			}
		}
	}
	return least
}

// OwnDescriptors returns the number of descriptors that the process may open, or zero if it is not known.
func OwnDescriptors() int {
	var l unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &l) != nil || l.Cur > math.MaxInt32 {
		return 0
	}
	return int(l.Cur)
}
