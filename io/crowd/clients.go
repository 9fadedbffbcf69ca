package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
)

// Idle returns a client that sends nothing.
func Idle() Client { return func(int, net.Conn) error { return nil } }

// Send returns a client that sends a text.
func Send(text string) Client {
	return func(_ int, c net.Conn) error {
		_, err := io.WriteString(c, text)
		return err
	}
}

// Repeat returns a client that sends a text again and again, and reads no answer.
func Repeat(text string, times int) Client {
	return func(_ int, c net.Conn) error {
		for range times {
			if _, err := io.WriteString(c, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// ManyHeaderLines returns the head of a request with as many bytes of very short header lines, without its empty last line.
func ManyHeaderLines(head string, bytes int) string {
	var b strings.Builder
	b.WriteString(head)
	for i := 0; b.Len() < bytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// Body returns a client that sends a head and all but the last byte of a body of some bytes, in pieces.
func Body(head string, bytes, piece int) Client {
	return func(_ int, c net.Conn) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, bytes); err != nil {
			return err
		}
		for left := bytes - 1; left > 0; left -= piece {
			if _, err := io.WriteString(c, strings.Repeat(" ", min(left, piece))); err != nil {
				return err
			}
		}
		return nil
	}
}

// Chunks returns a client that sends a head and a body of some bytes in chunks, without the last chunk.
func Chunks(head string, bytes, size int) Client {
	return func(_ int, c net.Conn) error {
		b := bufio.NewWriter(c)
		_, _ = b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n") // Flush returns its error
		for n := 0; n+size < bytes; n += size {
			if _, err := fmt.Fprintf(b, "%x\r\n%s\r\n", size, strings.Repeat(" ", size)); err != nil {
				return err
			}
		}
		return b.Flush()
	}
}
