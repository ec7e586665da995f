package logging

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

// Limits of an Async writer.
const (
	// maxQueuedLines is the capacity of the queue of unwritten lines.
	maxQueuedLines = 2048
	// maxLinesPerSecond allows three lines for each of the requests that one entry serves
	// per second at its peak.
	maxLinesPerSecond = 600
)

// Async writes lines in its own goroutine. Write never blocks: when the reader of the
// output stalls or lines come faster than maxLinesPerSecond, it drops lines, and the number
// of dropped lines is logged before the next line that is written.
type Async struct {
	out        io.Writer
	lines      chan []byte
	unreported atomic.Uint64 // dropped lines that no line has reported yet
	dropped    atomic.Uint64
	second     atomic.Int64 // Unix second that count belongs to
	count      atomic.Int64
	stop       chan struct{} // closed by Close
	done       chan struct{} // closed when the queued lines have been written
}

// NewAsync returns an Async writer to out and starts its goroutine, which Close stops.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. p must be one line. It never returns an error. After Close it drops
// the line: requests that are cut off at the end of a stop still log that.
func (a *Async) Write(p []byte) (int, error) {
	if !a.allow(time.Now().Unix()) {
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

func (a *Async) allow(now int64) bool {
	if a.second.Swap(now) != now {
		a.count.Store(0)
	}
	return a.count.Add(1) <= maxLinesPerSecond
}

func (a *Async) drop() {
	a.unreported.Add(1)
	a.dropped.Add(1)
}

// Dropped returns the number of lines dropped so far.
func (a *Async) Dropped() uint64 {
	return a.dropped.Load()
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.writeNext(line)
		case <-a.stop:
			a.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that are queued.
func (a *Async) writeQueued() {
	for {
		select {
		case line := <-a.lines:
			a.writeNext(line)
		default:
			return
		}
	}
}

// writeNext writes a line, after the number of those dropped before it.
func (a *Async) writeNext(line []byte) {
	if n := a.unreported.Swap(0); n > 0 {
		a.write([]byte(`{"level":"warn","message":"log: lines left out","count":` + strconv.FormatUint(n, 10) + "}\n"))
	}
	a.write(line)
}

// write writes one line. It ignores a write error, since the output is the only place to
// report one.
func (a *Async) write(line []byte) {
	_, _ = a.out.Write(line)
}

// Close writes the queued lines and waits at most timeout for that. It is called once.
func (a *Async) Close(timeout time.Duration) {
	close(a.stop)
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}
