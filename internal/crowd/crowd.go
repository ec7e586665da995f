// Package crowd holds clients for tests that open many connections to a process, send requests
// that are malformed or incomplete, and keep their connections open. It also reads what the
// process uses meanwhile.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sendTimeout bounds what one client sends. A server that no longer reads blocks its clients.
const sendTimeout = 5 * time.Second

// Send sends what the n-th client of a crowd sends. It returns the first error of w.
type Send func(w io.Writer, n int) error

// Crowd is a set of clients whose connections are open.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Open opens size connections to addr. It returns once each client has sent all, was cut off, or
// could send nothing more within sendTimeout. No client reads.
func Open(addr string, size int, send Send) *Crowd {
	c := &Crowd{}
	var all sync.WaitGroup
	for n := range size {
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, sendTimeout)
			if err != nil {
				return // the server accepts no more
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			if conn.SetWriteDeadline(time.Now().Add(sendTimeout)) == nil {
				_ = send(conn, n) // a server may cut clients off
			}
		})
	}
	all.Wait()
	return c
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // the server may have closed it
	}
	c.conns = nil
}

// Silent sends nothing.
func Silent(io.Writer, int) error { return nil }

// Repeat sends head, and then piece again and again until total bytes of it are sent.
func Repeat(head, piece string, total int) Send {
	// Writes of about 64 KiB keep the number of system calls low.
	const writeBytes = 64 << 10
	batch := bytes.Repeat([]byte(piece), max(1, writeBytes/len(piece)))
	return func(w io.Writer, n int) error {
		if _, err := io.WriteString(w, strings.ReplaceAll(head, "%ID%", fmt.Sprint("crowd-", n))); err != nil {
			return err
		}
		for left := total; left > 0; left -= len(batch) {
			if _, err := w.Write(batch[:min(left, len(batch))]); err != nil {
				return err
			}
		}
		return nil
	}
}

// InPieces sends what send does in separate writes of at most size bytes.
func InPieces(size int, send Send) Send {
	return func(w io.Writer, n int) error { return send(&pieceWriter{w, size}, n) }
}

type pieceWriter struct {
	w    io.Writer
	size int
}

// Write implements io.Writer.
func (p *pieceWriter) Write(data []byte) (int, error) {
	sent := 0
	for sent < len(data) {
		n, err := p.w.Write(data[sent:min(sent+p.size, len(data))])
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// PeakMemory returns the largest resident memory in bytes that a process has had.
func PeakMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kib << 10, err
		}
	}
	return 0, fmt.Errorf("no peak of memory for process %d; it has ended", pid)
}

// Descriptors returns the number of descriptors that a process has open.
func Descriptors(pid int) (int, error) {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(files), err
}
