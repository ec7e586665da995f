package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// Bounds of an Async writer.
const (
	// asyncLines is how many lines may wait to be written.
	asyncLines = 2048
	// asyncPerSecond bounds the lines of one second: three for each of the
	// requests that one entry serves at its peak.
	asyncPerSecond = 600
)

// Async writes lines in a goroutine of its own. Write never blocks: when the
// reader of the output stalls, or lines come faster than asyncPerSecond, lines
// are left out, and how many is written later.
type Async struct {
	out     io.Writer
	lines   chan []byte
	left    atomic.Uint64 // lines left out, not told yet
	total   atomic.Uint64
	second  atomic.Int64 // the second that count belongs to
	count   atomic.Int64
	flushed chan struct{}
}

// NewAsync returns an Async writer to out. Close ends it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, asyncLines), flushed: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It takes one line.
func (a *Async) Write(p []byte) (int, error) {
	if !a.admit(time.Now().Unix()) {
		a.drop()
		return len(p), nil
	}
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.drop()
	}
	return len(p), nil
}

func (a *Async) admit(now int64) bool {
	if a.second.Swap(now) != now {
		a.count.Store(0)
	}
	return a.count.Add(1) <= asyncPerSecond
}

func (a *Async) drop() {
	a.left.Add(1)
	a.total.Add(1)
}

// LeftOut returns how many lines were left out so far.
func (a *Async) LeftOut() uint64 {
	return a.total.Load()
}

func (a *Async) run() {
	defer close(a.flushed)
	for line := range a.lines {
		if n := a.left.Swap(0); n > 0 {
			a.write([]byte(`{"level":"warn","message":"log: lines left out","count":` + strconv.FormatUint(n, 10) + "}\n"))
		}
		a.write(line)
	}
}

// write writes one line. An output that fails has nobody left to tell.
func (a *Async) write(line []byte) {
	_, _ = a.out.Write(line)
}

// Close writes what waits, for at most limit. Nothing may be written after it.
func (a *Async) Close(limit time.Duration) {
	close(a.lines)
	select {
	case <-a.flushed:
	case <-time.After(limit):
	}
}
