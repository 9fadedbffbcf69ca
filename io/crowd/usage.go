package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Usage is what a process takes at a moment.
type Usage struct {
	Resident    int64
	Peak        int64 // of Resident, since the process began
	Buffered    int64 // received on its connections and not read, or written and not received
	Descriptors int
}

const (
	bytesPerKB       = 1024
	columnLocal      = 1 // of /proc/net/tcp
	columnQueues     = 4
	columnInode      = 9
	hexadecimal      = 16
	bitsOfSize       = 64
	socketLinkPrefix = "socket:["
)

// Measure returns the usage of a process, or an error if it has ended.
func Measure(pid int) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, errors.Wrap(err, "the process has ended")
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kb, _ := strconv.ParseInt(fields[1], 10, bitsOfSize) // the other lines hold no size
		switch fields[0] {
		case "VmRSS:":
			u.Resident = kb * bytesPerKB
		case "VmHWM:":
			u.Peak = kb * bytesPerKB
		}
	}
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	open, err := os.ReadDir(folder)
	if err != nil {
		return u, errors.Wrap(err, "the process has ended")
	}
	u.Descriptors = len(open)
	inodes := make(map[string]bool)
	for _, d := range open {
		link, _ := os.Readlink(folder + "/" + d.Name()) // it may be closed by now
		if inode, is := strings.CutPrefix(link, socketLinkPrefix); is {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return u, errors.Wrap(err, "read the table of sockets")
	}
	u.Buffered = buffered(string(table), inodes)
	return u, nil
}

// buffered sums the queues of the sockets with the inodes, and of others at their addresses, which are not accepted or not owned any more. What
// a listening socket shows as a queue is a number of connections.
func buffered(table string, inodes map[string]bool) int64 {
	const listening = "0A"
	addresses, sum := make(map[string]bool), int64(0)
	var rows [][]string
	for line := range strings.Lines(table) {
		if fields := strings.Fields(line); len(fields) > columnInode {
			rows = append(rows, fields)
			if inodes[fields[columnInode]] {
				addresses[fields[columnLocal]] = true
			}
		}
	}
	for _, f := range rows {
		if !addresses[f[columnLocal]] || f[columnLocal+2] == listening {
			continue
		}
		for queue := range strings.SplitSeq(f[columnQueues], ":") {
			n, _ := strconv.ParseInt(queue, hexadecimal, bitsOfSize)
			sum += n
		}
	}
	return sum
}
