package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pumiceford/logging"
)

// blockedWriter blocks each write until unblocked is closed, like a pipe whose reader has
// stopped reading.
type blockedWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	got       bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// Requests hang when the reader of the log stops reading, if the request's own goroutine
// writes the line.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblocked: make(chan struct{})}
		a := logging.NewAsync(out)
		// Ten seconds of 1,000 lines each exceed the queue.
		for i := range 10 {
			start := time.Now()
			for j := range 1000 {
				if _, err := fmt.Fprintf(a, "line %d\n", 1000*i+j); err != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(start); took > 0 {
				t.Fatalf("writes blocked for %s", took)
			}
			time.Sleep(time.Second)
		}
		if a.Dropped() == 0 {
			t.Fatal("no lines were dropped although the reader is stalled")
		}
		close(out.unblocked)
		synctest.Wait()
		time.Sleep(2 * time.Second)
		_, _ = fmt.Fprintf(a, "last\n")
		a.Close(time.Second)
		text := out.got.String()
		reported := uint64(0)
		for _, part := range strings.Split(text, `"count":`)[1:] {
			var n uint64
			if _, err := fmt.Sscanf(part, "%d", &n); err != nil {
				t.Fatal(err)
			}
			reported += n
		}
		if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "last\n") || reported != a.Dropped() {
			t.Fatalf("%d lines dropped, %d reported", a.Dropped(), reported)
		}
	})
}

// A burst of log lines takes CPU time from requests if the lines per second are not bounded.
func TestLimitsLinesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		a := logging.NewAsync(&out)
		for range 3 {
			for range 5000 {
				_, _ = fmt.Fprintf(a, "x\n")
			}
			time.Sleep(time.Second)
		}
		a.Close(time.Second)
		if n := strings.Count(out.String(), "x\n"); n < 1000 || n > 3000 {
			t.Fatalf("%d lines written in three seconds, want 1000 to 3000", n)
		}
	})
}

// Guards against a panic of a process that is being stopped: requests that are cut off log it after
// the log was closed.
func TestWriteAfterCloseIsDropped(t *testing.T) {
	var out bytes.Buffer
	a := logging.NewAsync(&out)
	_, _ = a.Write([]byte("before\n"))
	a.Close(time.Minute)
	if n, err := a.Write([]byte("after\n")); n != len("after\n") || err != nil || out.String() != "before\n" {
		t.Fatalf("got %d, %v, output %q, want only the line before Close", n, err, out.String())
	}
}
