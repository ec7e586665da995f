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

// stalled is an output whose reader has stopped reading.
type stalled struct {
	mu   sync.Mutex
	open chan struct{}
	got  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// Symptom: requests hang when whoever reads the log stops reading.
// Cause: a line was written by the request itself.
func TestAStalledReaderDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{open: make(chan struct{})}
		a := logging.NewAsync(out)
		// Ten seconds of many lines: more than may wait to be written.
		for i := range 10 {
			began := time.Now()
			for j := range 1000 {
				if _, err := fmt.Fprintf(a, "line %d\n", 1000*i+j); err != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(began); took > 0 {
				t.Fatalf("writing took %s", took)
			}
			time.Sleep(time.Second)
		}
		if a.LeftOut() == 0 {
			t.Fatal("nothing was left out although nobody reads")
		}
		close(out.open)
		synctest.Wait()
		time.Sleep(2 * time.Second)
		_, _ = fmt.Fprintf(a, "last\n")
		a.Close(time.Second)
		text := out.got.String()
		told := uint64(0)
		for _, part := range strings.Split(text, `"count":`)[1:] {
			var n uint64
			if _, err := fmt.Sscanf(part, "%d", &n); err != nil {
				t.Fatal(err)
			}
			told += n
		}
		if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "last\n") || told != a.LeftOut() {
			t.Fatalf("%d lines left out, %d told", a.LeftOut(), told)
		}
	})
}

// Symptom: a storm of lines takes the processor from requests.
// Cause: no bound on lines.
func TestLinesOfASecondAreBounded(t *testing.T) {
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
			t.Fatalf("%d lines of three seconds", n)
		}
	})
}
