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

// checkBound bounds one step of Check.
const checkBound = 60 * time.Second

// CheckError says which step of the check went wrong.
type CheckError struct {
	Step    string
	Problem string
}

// Error implements error.
func (e *CheckError) Error() string {
	return e.Step + ": " + e.Problem
}

func wrong(step, format string, args ...any) error {
	return &CheckError{Step: step, Problem: fmt.Sprintf(format, args...)}
}

// Check runs the main job against the fleet and prints what each step gave.
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
		sctx, cancel := context.WithTimeout(ctx, checkBound)
		said, err := s.run(sctx)
		cancel()
		if err != nil {
			failed = errors.CombineErrors(failed, err)
			said = "WRONG " + err.Error()
		}
		if _, err := fmt.Fprintf(out, "%-7s %6.2fs  %s\n", s.name, time.Since(began).Seconds(), said); err != nil {
			return err
		}
	}
	return failed
}

func (f *Fleet) caller(n int) (*client.Client, error) {
	return client.New(f.Callers[n%len(f.Callers)], WorkspaceKey)
}

func (f *Fleet) checkOnline(ctx context.Context) (string, error) {
	const tokens = 48
	prompt := "Which currency checks are due before my next night flight?"
	pieces := 0
	var got strings.Builder
	for n := range f.Callers {
		c, err := f.caller(n)
		if err != nil {
			return "", err
		}
		err = retry(ctx, func() error {
			got.Reset()
			pieces = 0
			return c.Stream(ctx, client.CompletionRequest{Model: Model, Prompt: prompt, MaxTokens: tokens}, func(s string) {
				got.WriteString(s)
				pieces++
			})
		})
		if err != nil {
			return "", err
		}
		if got.String() != standin.AnswerText(prompt, tokens) {
			return "", wrong("online", "entry %d gave another answer than the engine", n)
		}
	}
	return fmt.Sprintf("whole answer of %d tokens in %d pieces through each of %d entries", tokens, pieces, len(f.Callers)), nil
}

// Sizes of the checked jobs.
const (
	checkItems  = 220
	cancelItems = 2000
	itemTokens  = 16
)

// batchFile writes a batch file. Items whose index is in poison can never be done.
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
		return "", wrong("batch", "a resend through the other entry made another job")
	}
	if b, err = c.Wait(ctx, b.ID, 50*time.Millisecond); err != nil {
		return "", err
	}
	if b.RequestCounts.Completed != checkItems-len(poison) || b.RequestCounts.Failed != len(poison) {
		return "", wrong("batch", "counts are %+v", b.RequestCounts)
	}
	if err := f.checkResults(ctx, b, poison); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d items: %d succeeded, %d can never be done and failed with a reason; each once, in order, through the other entry", checkItems, b.RequestCounts.Completed, b.RequestCounts.Failed), nil
}

// resend submits the same file once more through another entry.
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
			return wrong("batch", "only %d results", len(goodLines))
		}
		if err := checkLine(goodLines[at], n); err != nil {
			return err
		}
		at++
	}
	if at != len(goodLines) || len(badLines) != len(poison) {
		return wrong("batch", "%d results and %d errors", len(goodLines), len(badLines))
	}
	for _, l := range badLines {
		if l.Error == nil || l.Error.Message == "" {
			return wrong("batch", "%s failed without a reason", l.CustomID)
		}
	}
	return nil
}

func checkLine(l resultLine, n int) error {
	want := fmt.Sprintf("dossier-%d", n)
	if l.CustomID != want || l.Response == nil || len(l.Response.Body.Choices) != 1 {
		return wrong("batch", "result %q where %q belongs", l.CustomID, want)
	}
	if l.Response.Body.Choices[0].Text != standin.AnswerText(itemPrompt("dossier", n), itemTokens) {
		return wrong("batch", "%s has another text than the engine gave", want)
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
		return "", wrong("cancel", "status is %s", b.Status)
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
		return "", wrong("cancel", "items ran on after the cancel was told as done")
	}
	return fmt.Sprintf("%d of %d items were done before the cancel, none after", before, cancelItems), nil
}

func (f *Fleet) admitted() uint64 {
	var n uint64
	for _, e := range f.Engines {
		n += e.Stats().Admitted
	}
	return n
}

func (f *Fleet) checkConfig(ctx context.Context) (string, error) {
	ops, err := client.New(f.Operators[len(f.Operators)-1], OperatorKey)
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
		return "", wrong("config", "plan %s is not in force", plan.ID)
	}
	var over entry.PlanReply
	err = ops.JSON(ctx, "POST", "/plans", entry.ProposeBody{Intents: []config.Intent{{Kind: config.SetShare, Workspace: "boutiques", Share: 0.8}}}, &over)
	if err == nil {
		return "", wrong("config", "shares over the fleet were planned")
	}
	return fmt.Sprintf("plan confirmed at offset %d and in force on all nodes; shares over the fleet refused", plan.Decided), nil
}
