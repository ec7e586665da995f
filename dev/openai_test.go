package dev

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"pumiceford/apierr"
	"pumiceford/client"
	"pumiceford/entry"
	"pumiceford/standin"
)

// testTimeout is far longer than any test here takes.
const testTimeout = 2 * time.Minute

func startFleet(t *testing.T) (*Fleet, context.Context) {
	t.Helper()
	f, err := Start(Options{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(func() {
		cancel()
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	if err := f.Setup(ctx); err != nil {
		t.Fatal(err)
	}
	if err := f.awaitTargets(ctx); err != nil {
		t.Fatal(err)
	}
	return f, ctx
}

// awaitTargets waits until an online request succeeds through every entry.
func (f *Fleet) awaitTargets(ctx context.Context) error {
	for n := range f.CallerURLs {
		c, err := f.caller(n)
		if err != nil {
			return err
		}
		if err := retry(ctx, func() error {
			return c.Stream(ctx, client.CompletionRequest{Model: Model, Prompt: "ready", MaxTokens: 1}, func(string) {})
		}); err != nil {
			return err
		}
	}
	return nil
}

// The unmodified official OpenAI client works with the callers' interface.
func TestOpenAIClient(t *testing.T) {
	f, ctx := startFleet(t)
	c := openai.NewClient(option.WithBaseURL(f.CallerURLs[0]+"/v1/"), option.WithAPIKey(WorkspaceKey), option.WithMaxRetries(0))

	models, err := c.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != Model {
		t.Fatalf("models: %v %v", models, err)
	}

	chat := openai.ChatCompletionNewParams{
		Model: Model, MaxTokens: openai.Int(12),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("alteration slots on Friday?")},
	}
	want := standin.AnswerText("user: alteration slots on Friday?\n", 12)
	whole, err := c.Chat.Completions.New(ctx, chat)
	if err != nil || whole.Choices[0].Message.Content != want || whole.Usage.CompletionTokens != 12 {
		t.Fatalf("chat: %v %v", whole, err)
	}
	stream := c.Chat.Completions.NewStreaming(ctx, chat)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil || acc.Choices[0].Message.Content != want {
		t.Fatalf("streamed chat: %q %v", acc.Choices[0].Message.Content, err)
	}
	done, err := c.Completions.New(ctx, openai.CompletionNewParams{
		Model: openai.CompletionNewParamsModel(Model), MaxTokens: openai.Int(5),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("lace")},
	})
	if err != nil || done.Choices[0].Text != standin.AnswerText("lace", 5) {
		t.Fatalf("completion: %v %v", done, err)
	}
	testOpenAIBatch(t, ctx, c)
}

func testOpenAIBatch(t *testing.T, ctx context.Context, c openai.Client) {
	t.Helper()
	file, err := c.Files.New(ctx, openai.FileNewParams{
		File: openai.File(bytes.NewReader(batchFile("official", 30, map[int]bool{4: true})), "items.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	job, err := c.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1Completions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		t.Fatal(err)
	}
	for job.Status != openai.BatchStatusCompleted {
		time.Sleep(50 * time.Millisecond)
		if job, err = c.Batches.Get(ctx, job.ID); err != nil {
			t.Fatal(err)
		}
	}
	if job.RequestCounts.Completed != 29 || job.RequestCounts.Failed != 1 {
		t.Fatalf("counts %+v", job.RequestCounts)
	}
	for id, want := range map[string]int{job.OutputFileID: 29, job.ErrorFileID: 1} {
		reply, err := c.Files.Content(ctx, id)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(reply.Body)
		if err != nil || len(lines(data)) != want {
			t.Fatalf("file %s has %d lines, error %v", id, len(lines(data)), err)
		}
	}
	list, err := c.Batches.List(ctx, openai.BatchListParams{Limit: openai.Int(1)})
	if err != nil || len(list.Data) != 1 || list.Data[0].ID != job.ID {
		t.Fatalf("list: %v %v", list, err)
	}
	long, err := c.Files.New(ctx, openai.FileNewParams{
		File: openai.File(bytes.NewReader(batchFile("stop", 3000, nil)), "long.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	if job, err = c.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: long.ID, Endpoint: openai.BatchNewParamsEndpointV1Completions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	}); err != nil {
		t.Fatal(err)
	}
	if job, err = c.Batches.Cancel(ctx, job.ID); err != nil {
		t.Fatal(err)
	}
	if job.Status != openai.BatchStatusCancelled && job.Status != openai.BatchStatusCancelling {
		t.Fatalf("status of the cancelled job is %s", job.Status)
	}
}

// Every invalid input returns the expected error code, and the error states that the
// request did not run.
func TestInvalidInput(t *testing.T) {
	f, ctx := startFleet(t)
	c, err := f.caller(0)
	if err != nil {
		t.Fatal(err)
	}
	unknownKey, err := client.New(f.CallerURLs[0], "no such key")
	if err != nil {
		t.Fatal(err)
	}
	post := func(c *client.Client, path, body string, h ...client.Header) error {
		_, err := c.Raw(ctx, http.MethodPost, path, "application/json", []byte(body), h...)
		return err
	}
	upload := func(data string) error {
		_, err := c.Upload(ctx, "f", []byte(data))
		return err
	}
	item := `{"custom_id":"a","body":{"model":"renewal-7b","prompt":"p"}}`
	cases := []struct {
		name string
		err  error
		code apierr.Code
	}{
		{"empty body", post(c, "/v1/completions", ""), apierr.CodeBadRequest},
		{"truncated", post(c, "/v1/completions", `{"model":"renewal-7b","prompt":"x`), apierr.CodeBadRequest},
		{"wrong type", post(c, "/v1/completions", `{"model":7,"prompt":"x"}`), apierr.CodeBadRequest},
		{"not UTF-8", post(c, "/v1/completions", "{\"model\":\"renewal-7b\",\"prompt\":\"\xff\"}"), apierr.CodeBadRequest},
		{"oversized", post(c, "/v1/completions", `{"model":"renewal-7b","prompt":"`+strings.Repeat("x", entry.MaxPromptBytes)+`"}`), apierr.CodeTooLarge},
		{"no prompt", post(c, "/v1/completions", `{"model":"renewal-7b"}`), apierr.CodeBadRequest},
		{"unknown model", post(c, "/v1/completions", `{"model":"none","prompt":"x"}`), apierr.CodeModelNotFound},
		{"too many tokens", post(c, "/v1/completions", `{"model":"renewal-7b","prompt":"x","max_tokens":1000000}`), apierr.CodeBadRequest},
		{"bad deadline", post(c, "/v1/completions", `{"model":"renewal-7b","prompt":"x"}`, client.Header{Name: entry.HeaderTimeout, Value: "soon"}), apierr.CodeBadRequest},
		{"wrong key", post(unknownKey, "/v1/completions", `{"model":"renewal-7b","prompt":"x"}`), apierr.CodeUnauthorized},
		{"no such service", post(c, "/v1/services/none/x", ``), apierr.CodeNoTarget},
		{"empty file", upload(""), apierr.CodeBadRequest},
		{"bad line", upload(item + "\n{"), apierr.CodeBadRequest},
		{"same id twice", upload(item + "\n" + item), apierr.CodeBadRequest},
		{"unknown model in a file", upload(`{"custom_id":"a","body":{"model":"none","prompt":"p"}}`), apierr.CodeModelNotFound},
		{"unknown file", post(c, "/v1/batches", `{"input_file_id":"file-none","endpoint":"/v1/completions"}`), apierr.CodeNotFound},
		{"wrong endpoint", post(c, "/v1/batches", `{"input_file_id":"file-none","endpoint":"/v1/images"}`), apierr.CodeBadRequest},
		{"bad window", post(c, "/v1/batches", `{"input_file_id":"f","endpoint":"/v1/completions","completion_window":"soon"}`), apierr.CodeBadRequest},
		{"unknown batch", post(c, "/v1/batches/batch_0000"+strings.Repeat("0", 32)+"/cancel", ""), apierr.CodeNotFound},
	}
	for _, tc := range cases {
		var fail *apierr.Error
		if !errors.As(tc.err, &fail) || fail.Code != tc.code || fail.Ran.String() != "RAN_NO" {
			t.Errorf("%s: got %v, want %s", tc.name, tc.err, tc.code)
		}
	}
}

// Guards against a call that runs twice when it is sent with the same idempotency key
// through both entries, which happens if each entry remembers only its own keys.
func TestIdempotencyKeyHoldsAcrossEntries(t *testing.T) {
	f, ctx := startFleet(t)
	key := client.Header{Name: entry.HeaderIdempotencyKey, Value: "hem-17"}
	var first string
	for n := range 4 {
		c, err := f.caller(n)
		if err != nil {
			t.Fatal(err)
		}
		reply, err := c.Raw(ctx, http.MethodPost, "/v1/services/stamps/hem", "application/json", []byte("17"), key)
		if err != nil {
			t.Fatalf("call %d failed: %v", n, err)
		}
		if n == 0 {
			first = string(reply)
		}
		if string(reply) != first {
			t.Fatalf("call %d got %q, the first got %q", n, reply, first)
		}
	}
	if n := f.Service.CallCount("17"); n != 1 {
		t.Fatalf("the service was called %d times, want once", n)
	}
	c, err := f.caller(1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Raw(ctx, http.MethodPost, "/v1/services/stamps/hem", "application/json", []byte("18"), key); !apierr.Is(err, apierr.CodeIdempotencyConflict) {
		t.Fatalf("different body with the same key: got %v, want a key conflict", err)
	}
}

// A file with the maximum number of items is accepted and read back completely, and a
// file with one item more is refused before any of it is stored.
func TestLargestJobIsAccepted(t *testing.T) {
	f, ctx := startFleet(t)
	c, err := f.caller(0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Upload(ctx, "f", batchFile("over", entry.MaxFileItems+1, nil)); !apierr.Is(err, apierr.CodeTooLarge) {
		t.Fatalf("file with one item too many: got %v, want the code too large", err)
	}
	id, err := c.Upload(ctx, "f", batchFile("most", entry.MaxFileItems, nil))
	if err != nil {
		t.Fatal(err)
	}
	b, err := c.Submit(ctx, id, "/v1/completions", "24h")
	if err != nil || b.RequestCounts.Total != entry.MaxFileItems {
		t.Fatalf("submitted job: %+v, error %v", b, err)
	}
	other, err := f.caller(1)
	if err != nil {
		t.Fatal(err)
	}
	data, err := other.Content(ctx, id)
	if err != nil || bytes.Count(data, []byte("\n")) != entry.MaxFileItems {
		t.Fatalf("read back %d lines, error %v", bytes.Count(data, []byte("\n")), err)
	}
	if _, err := other.Cancel(ctx, b.ID); err != nil {
		t.Fatal(err)
	}
	if b, err = other.Wait(ctx, b.ID, 100*time.Millisecond); err != nil || b.Status != "cancelled" {
		t.Fatalf("cancelled job: %+v, error %v", b, err)
	}
}
