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
		began := time.Now()
		const lines = 10000
		for i := range lines {
			if _, err := fmt.Fprintf(a, "line %d\n", i); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took > 0 {
			t.Fatalf("writing took %s", took)
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
		if !strings.Contains(text, "line 0\n") || !strings.Contains(text, "last\n") || !strings.Contains(text, fmt.Sprintf(`"count":%d`, a.LeftOut())) {
			t.Fatalf("%d lines left out; the output does not say so", a.LeftOut())
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
