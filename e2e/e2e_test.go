package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"pumiceford/client"
	"pumiceford/dev"
	"pumiceford/standin"
)

func stream(ctx context.Context, c *client.Client, prompt string, tokens uint32) (string, error) {
	var got strings.Builder
	err := c.Stream(ctx, client.CompletionRequest{Model: dev.Model, Prompt: prompt, MaxTokens: tokens}, func(s string) { got.WriteString(s) })
	return got.String(), err
}

func jobFile(tag string, items int, tokens int) []byte {
	var b bytes.Buffer
	for n := range items {
		line, _ := json.Marshal(map[string]any{
			"custom_id": fmt.Sprintf("%s-%d", tag, n),
			"body":      map[string]any{"model": dev.Model, "prompt": prompt(tag, n), "max_tokens": tokens},
		})
		b.Write(line)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

func prompt(tag string, n int) string {
	return fmt.Sprintf("pinning instructions %s %d", tag, n)
}

// checkJob reads a job's output file and compares the ID, order and text of every item.
func checkJob(t *testing.T, c *client.Client, b client.Batch, tag string, items, tokens int) {
	t.Helper()
	data, err := c.Content(context.Background(), b.OutputFileID)
	if err != nil {
		t.Fatal(err)
	}
	var n int
	for _, raw := range bytes.Split(bytes.TrimSpace(data), []byte("\n")) {
		var l struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct {
						Text string `json:"text"`
					} `json:"choices"`
				} `json:"body"`
			} `json:"response"`
		}
		if err := json.Unmarshal(raw, &l); err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("%s-%d", tag, n); l.CustomID != want {
			t.Fatalf("line %d is for item %q, want %q", n, l.CustomID, want)
		}
		if got, want := l.Response.Body.Choices[0].Text, standin.AnswerText(prompt(tag, n), uint32(tokens)); got != want {
			t.Fatalf("item %d: got %q, want %q", n, got, want)
		}
		n++
	}
	if n != items {
		t.Fatalf("got %d results, want %d", n, items)
	}
}

func submit(t *testing.T, f *fleet, c *client.Client, tag string, items, tokens int) client.Batch {
	t.Helper()
	var b client.Batch
	f.waitFor("submit", func(ctx context.Context) error {
		id, err := c.Upload(ctx, tag, jobFile(tag, items, tokens))
		if err != nil {
			return err
		}
		b, err = c.Submit(ctx, id, "/v1/completions", "24h")
		return err
	})
	return b
}

func waitJob(t *testing.T, f *fleet, c *client.Client, b client.Batch) client.Batch {
	t.Helper()
	f.waitFor("end of the job", func(ctx context.Context) error {
		got, err := c.Batch(ctx, b.ID)
		if err != nil {
			return err
		}
		if !got.Ended() {
			return fmt.Errorf("job is %s with %+v", got.Status, got.RequestCounts)
		}
		b = got
		return nil
	})
	return b
}

// A streamed response and a job complete across separate processes.
func TestOnlineAndBatch(t *testing.T) {
	f := newFleet(t)
	f.waitFor("online response", func(ctx context.Context) error {
		got, err := stream(ctx, f.caller(0), "lace stock", 40)
		if err != nil {
			return err
		}
		if want := standin.AnswerText("lace stock", 40); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		return nil
	})
	b := waitJob(t, f, f.caller(0), submit(t, f, f.caller(0), "path", 200, 8))
	checkJob(t, f.caller(1), b, "path", 200, 8)
}

// Guards against interrupted responses and missing items after a target host dies. An
// agent is killed while it streams a response and holds granted batch items. The failure
// occurs if the entry gives up when the connection breaks instead of resuming on another
// target, or if the owner does not reclaim the lost items.
func TestKilledAgentLosesNoWork(t *testing.T) {
	f := newFleet(t)
	c := f.caller(0)
	b := submit(t, f, c, "killed", 600, 16)
	const tokens = 400
	responses := make(chan error, 3)
	var started [3]chan struct{}
	for n := range 3 {
		started[n] = make(chan struct{}, tokens+1)
		go func() {
			p := fmt.Sprintf("long question %d", n)
			var got strings.Builder
			err := c.Stream(context.Background(), client.CompletionRequest{Model: dev.Model, Prompt: p, MaxTokens: tokens}, func(s string) {
				got.WriteString(s)
				started[n] <- struct{}{}
			})
			if err == nil && got.String() != standin.AnswerText(p, tokens) {
				err = fmt.Errorf("response %d differs from the engine's", n)
			}
			responses <- err
		}()
	}
	for n := range 3 {
		<-started[n]
	}
	f.kill("agent-1")
	for range 3 {
		if err := <-responses; err != nil {
			t.Error(err)
		}
	}
	b = waitJob(t, f, c, b)
	if b.RequestCounts.Completed != 600 {
		t.Fatalf("counts %+v", b.RequestCounts)
	}
	checkJob(t, c, b, "killed", 600, 16)
}

// Guards against a job that stops or loses results when an entry host dies right after
// it acknowledged work. Entry 0 accepts a job and is killed while it owns partitions, and
// the platform's host list removes it. The failure occurs if accepted work is held only
// in the memory of one host.
func TestKilledEntryLosesNoWork(t *testing.T) {
	f := newFleet(t)
	b := submit(t, f, f.caller(0), "entry", 600, 16)
	f.kill("entry-0")
	f.removeHost("entry-0")
	c := f.caller(1)
	b = waitJob(t, f, c, b)
	if b.RequestCounts.Completed != 600 {
		t.Fatalf("counts %+v", b.RequestCounts)
	}
	checkJob(t, c, b, "entry", 600, 16)
	again := 0
	for _, n := range f.runCounts() {
		again += n - 1
	}
	t.Logf("%d of 600 items were executed again after an owner was lost", again)
	// The new owner adopts the items that agents hold, so only grants in flight run again.
	if again > 60 {
		t.Errorf("%d items were executed again, want at most 60", again)
	}
}

// Guards against items that complete twice and results that are lost when a paused owner
// resumes. An entry is stopped while it owns partitions, the host list removes it, and
// the other entry takes over and finishes the job. The stopped entry then resumes and
// appends its pending records. The failure occurs if records of a superseded owner are
// folded.
func TestResumedEntryIsFenced(t *testing.T) {
	f := newFleet(t)
	b := submit(t, f, f.caller(1), "frozen", 600, 16)
	f.signal("entry-0", syscall.SIGSTOP)
	f.removeHost("entry-0")
	c := f.caller(1)
	b = waitJob(t, f, c, b)
	f.signal("entry-0", syscall.SIGCONT)
	if b.RequestCounts.Completed != 600 {
		t.Fatalf("counts %+v", b.RequestCounts)
	}
	checkJob(t, c, b, "frozen", 600, 16)
}

// Guards against responses that are cut off, and processes that exit with an error, on a
// planned stop. Two agents and then an entry get SIGTERM while a response is in progress.
// The failure occurs if a process exits before its requests complete.
func TestGracefulStopCompletesRequests(t *testing.T) {
	f := newFleet(t)
	for _, name := range []string{"agent-0", "agent-1", "entry-0"} {
		first := make(chan struct{}, 1000)
		done := make(chan error, 1)
		go func() {
			const tokens = 300
			var got strings.Builder
			err := f.caller(0).Stream(context.Background(), client.CompletionRequest{Model: dev.Model, Prompt: name, MaxTokens: tokens}, func(s string) {
				got.WriteString(s)
				first <- struct{}{}
			})
			if err == nil && got.String() != standin.AnswerText(name, tokens) {
				err = fmt.Errorf("response differs from the engine's")
			}
			done <- err
		}()
		<-first
		f.signal(name, syscall.SIGTERM)
		if err := <-done; err != nil {
			t.Errorf("request during the stop of %s: %v", name, err)
		}
		if err := f.procs[name].Wait(); err != nil {
			t.Errorf("%s exited with an error: %v\n%s", name, err, f.logs[name])
		}
		delete(f.procs, name)
	}
	for id, n := range f.runCounts() {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}
