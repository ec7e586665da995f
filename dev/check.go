package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/client"
	"pumiceford/config"
	"pumiceford/entry"
	"pumiceford/internal/wait"
	"pumiceford/standin"
)

// stepTimeout limits one step of Check.
const stepTimeout = 60 * time.Second

// CheckError is the failure of one step of Check.
type CheckError struct {
	Step    string
	Problem string
}

// Error implements error.
func (e *CheckError) Error() string {
	return e.Step + ": " + e.Problem
}

func checkFailed(step, format string, args ...any) error {
	return &CheckError{Step: step, Problem: fmt.Sprintf(format, args...)}
}

// Check runs online requests, batch jobs and a configuration change against the fleet
// and prints the result and duration of each step to out. It returns all failures.
func (f *Fleet) Check(ctx context.Context, out io.Writer) error {
	steps := []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"online", f.checkOnline},
		{"batch", f.checkBatch},
		{"cancel", f.checkCancel},
		{"config", f.checkConfig},
	}
	var failed error
	for _, s := range steps {
		began := time.Now()
		sctx, cancel := context.WithTimeout(ctx, stepTimeout)
		result, err := s.run(sctx)
		cancel()
		if err != nil {
			failed = errors.CombineErrors(failed, err)
			result = "FAILED " + err.Error()
		}
		if _, err := fmt.Fprintf(out, "%-7s %6.2fs  %s\n", s.name, time.Since(began).Seconds(), result); err != nil {
			return err
		}
	}
	return failed
}

func (f *Fleet) caller(n int) (*client.Client, error) {
	return client.New(f.CallerURLs[n%len(f.CallerURLs)], WorkspaceKey)
}

func (f *Fleet) checkOnline(ctx context.Context) (string, error) {
	const tokens = 48
	prompt := "Which currency checks are due before my next night flight?"
	chunks := 0
	var got strings.Builder
	for n := range f.CallerURLs {
		c, err := f.caller(n)
		if err != nil {
			return "", err
		}
		err = retry(ctx, func() error {
			got.Reset()
			chunks = 0
			return c.Stream(ctx, client.CompletionRequest{Model: Model, Prompt: prompt, MaxTokens: tokens}, func(s string) {
				got.WriteString(s)
				chunks++
			})
		})
		if err != nil {
			return "", err
		}
		if got.String() != standin.AnswerText(prompt, tokens) {
			return "", checkFailed("online", "response through entry %d differs from the engine's", n)
		}
	}
	return fmt.Sprintf("complete response of %d tokens in %d chunks through each of %d entries", tokens, chunks, len(f.CallerURLs)), nil
}

// Sizes of the jobs that Check submits.
const (
	checkItems  = 220
	cancelItems = 2000
	itemTokens  = 16
)

// batchFile returns the contents of a batch file. The engine rejects the items whose
// index is in poison.
func batchFile(tag string, items int, poison map[int]bool) []byte {
	var b bytes.Buffer
	for n := range items {
		prompt := itemPrompt(tag, n)
		if poison[n] {
			prompt += standin.MarkPoison
		}
		line, _ := json.Marshal(map[string]any{
			"custom_id": fmt.Sprintf("%s-%d", tag, n),
			"method":    "POST",
			"url":       "/v1/completions",
			"body":      map[string]any{"model": Model, "prompt": prompt, "max_tokens": itemTokens},
		})
		b.Write(line)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

func itemPrompt(tag string, n int) string {
	return fmt.Sprintf("Summarise the logbook extract %s number %d.", tag, n)
}

func (f *Fleet) submit(ctx context.Context, tag string, items int, poison map[int]bool) (*client.Client, client.Batch, error) {
	c, err := f.caller(0)
	if err != nil {
		return nil, client.Batch{}, err
	}
	var id string
	err = retry(ctx, func() error {
		var err error
		id, err = c.Upload(ctx, tag+".jsonl", batchFile(tag, items, poison))
		return err
	})
	if err != nil {
		return nil, client.Batch{}, err
	}
	b, err := c.Submit(ctx, id, "/v1/completions", "24h")
	return c, b, err
}

func (f *Fleet) checkBatch(ctx context.Context) (string, error) {
	poison := map[int]bool{17: true, 101: true}
	c, b, err := f.submit(ctx, "dossier", checkItems, poison)
	if err != nil {
		return "", err
	}
	again, err := f.resend(ctx, b)
	if err != nil {
		return "", err
	}
	if again.ID != b.ID {
		return "", checkFailed("batch", "submitting the file again through the other entry created a second job")
	}
	if b, err = c.Wait(ctx, b.ID, 50*time.Millisecond); err != nil {
		return "", err
	}
	if b.RequestCounts.Completed != checkItems-len(poison) || b.RequestCounts.Failed != len(poison) {
		return "", checkFailed("batch", "unexpected request counts %+v", b.RequestCounts)
	}
	if err := f.checkResults(ctx, b, poison); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d items: %d succeeded, %d rejected items failed with a reason; results read once each and in order through the other entry", checkItems, b.RequestCounts.Completed, b.RequestCounts.Failed), nil
}

// resend submits the same file again through another entry.
func (f *Fleet) resend(ctx context.Context, b client.Batch) (client.Batch, error) {
	c, err := f.caller(1)
	if err != nil {
		return client.Batch{}, err
	}
	return c.Submit(ctx, b.InputFileID, "/v1/completions", "24h")
}

type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		Body struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

func (f *Fleet) checkResults(ctx context.Context, b client.Batch, poison map[int]bool) error {
	c, err := f.caller(1)
	if err != nil {
		return err
	}
	good, err := c.Content(ctx, b.OutputFileID)
	if err != nil {
		return err
	}
	bad, err := c.Content(ctx, b.ErrorFileID)
	if err != nil {
		return err
	}
	goodLines, badLines := lines(good), lines(bad)
	at := 0
	for n := range checkItems {
		if poison[n] {
			continue
		}
		if at >= len(goodLines) {
			return checkFailed("batch", "got only %d results", len(goodLines))
		}
		if err := checkLine(goodLines[at], n); err != nil {
			return err
		}
		at++
	}
	if at != len(goodLines) || len(badLines) != len(poison) {
		return checkFailed("batch", "got %d results and %d errors", len(goodLines), len(badLines))
	}
	for _, l := range badLines {
		if l.Error == nil || l.Error.Message == "" {
			return checkFailed("batch", "item %s failed without a reason", l.CustomID)
		}
	}
	return nil
}

func checkLine(l resultLine, n int) error {
	want := fmt.Sprintf("dossier-%d", n)
	if l.CustomID != want || l.Response == nil || len(l.Response.Body.Choices) != 1 {
		return checkFailed("batch", "got result %q, expected %q", l.CustomID, want)
	}
	if l.Response.Body.Choices[0].Text != standin.AnswerText(itemPrompt("dossier", n), itemTokens) {
		return checkFailed("batch", "text of item %s differs from the engine's", want)
	}
	return nil
}

func lines(data []byte) []resultLine {
	var out []resultLine
	for _, raw := range bytes.Split(data, []byte("\n")) {
		if len(raw) == 0 {
			continue
		}
		var l resultLine
		if json.Unmarshal(raw, &l) == nil {
			out = append(out, l)
		}
	}
	return out
}

func (f *Fleet) checkCancel(ctx context.Context) (string, error) {
	c, b, err := f.submit(ctx, "cancelled", cancelItems, nil)
	if err != nil {
		return "", err
	}
	if b, err = c.Cancel(ctx, b.ID); err != nil {
		return "", err
	}
	if b, err = c.Wait(ctx, b.ID, 50*time.Millisecond); err != nil {
		return "", err
	}
	if b.Status != "cancelled" {
		return "", checkFailed("cancel", "job status is %s, expected cancelled", b.Status)
	}
	before := b.RequestCounts.Completed
	admitted := f.admitted()
	if err := wait.For(ctx, time.Second); err != nil {
		return "", err
	}
	if b, err = c.Batch(ctx, b.ID); err != nil {
		return "", err
	}
	if b.RequestCounts.Completed != before || f.admitted() != admitted {
		return "", checkFailed("cancel", "items ran after the job was reported as cancelled")
	}
	return fmt.Sprintf("%d of %d items completed before the cancellation, none after it", before, cancelItems), nil
}

func (f *Fleet) admitted() uint64 {
	var n uint64
	for _, e := range f.Engines {
		n += e.Stats().Admitted
	}
	return n
}

func (f *Fleet) checkConfig(ctx context.Context) (string, error) {
	ops, err := client.New(f.OperatorURLs[len(f.OperatorURLs)-1], OperatorKey)
	if err != nil {
		return "", err
	}
	plan, err := PlanAndConfirm(ctx, ops, "a share for the boutiques", []config.Intent{
		{Kind: config.CreateWorkspace, Workspace: "boutiques"},
		{Kind: config.SetShare, Workspace: "boutiques", Share: 0.3},
	})
	if err != nil {
		return "", err
	}
	if !plan.InForce {
		return "", checkFailed("config", "plan %s is not in force", plan.ID)
	}
	var over entry.PlanReply
	err = ops.JSON(ctx, "POST", "/plans", entry.ProposeBody{Intents: []config.Intent{{Kind: config.SetShare, Workspace: "boutiques", Share: 0.8}}}, &over)
	if err == nil {
		return "", checkFailed("config", "a plan with shares above the whole fleet was accepted")
	}
	return fmt.Sprintf("plan confirmed at offset %d and in force on all nodes; shares above the whole fleet refused", plan.Decided), nil
}
