// Package client calls the APIs of an entry for callers and operators. The command
// line uses it; programs may use any OpenAI client for the callers' API instead.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/cockroachdb/errors"

	"pumiceford/apierr"
	"pumiceford/httpx"
	"pumiceford/internal/wait"
	"pumiceford/wire"
)

// Client calls the API of one entry with one key.
type Client struct {
	base string
	key  string
	http *hertz.Client
}

// New returns a Client for a base URL and a bearer key.
func New(base, key string) (*Client, error) {
	cl, err := httpx.NewClient()
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	return &Client{base: base, key: key, http: cl}, nil
}

type errorReply struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

func (r errorReply) apiError() *apierr.Error {
	ran := wire.Ran_RAN_UNKNOWN
	switch r.Error.Ran {
	case "no":
		ran = wire.Ran_RAN_NO
	case "yes":
		ran = wire.Ran_RAN_YES
	}
	return &apierr.Error{Code: apierr.Code(r.Error.Code), Message: r.Error.Message, Ran: ran}
}

// Header is one header of a request.
type Header struct {
	Name, Value string
}

// Raw makes a request and returns the body of a successful response. Any error is an
// apierr.Error.
func (c *Client) Raw(ctx context.Context, method, path, contentType string, body []byte, headers ...Header) ([]byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.prepare(req, method, path, contentType, body, headers)
	if err := c.http.Do(ctx, req, resp); err != nil {
		return nil, apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "no response: %v", err)
	}
	data, err := resp.BodyE()
	if err != nil {
		return nil, apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "response truncated: %v", err)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return nil, responseError(resp.StatusCode(), data)
	}
	return bytes.Clone(data), nil
}

func responseError(status int, data []byte) error {
	var r errorReply
	if json.Unmarshal(data, &r) != nil || r.Error.Code == "" {
		return apierr.MaybeExecuted(apierr.CodeInternal, "unexpected response with status %d", status)
	}
	return r.apiError()
}

func (c *Client) prepare(req *protocol.Request, method, path, contentType string, body []byte, headers []Header) {
	req.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		req.Header.SetContentTypeBytes([]byte(contentType))
	}
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
	req.SetBody(body)
}

// JSON makes a request with in as the JSON body and decodes the JSON response into out.
// Either may be nil.
func (c *Client) JSON(ctx context.Context, method, path string, in, out any, headers ...Header) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return apierr.New(apierr.CodeBadRequest, "encode request body: %v", err)
		}
		body = data
	}
	data, err := c.Raw(ctx, method, path, "application/json", body, headers...)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return apierr.Executed(apierr.CodeInternal, "invalid response: %v", err)
	}
	return nil
}

// CompletionRequest is the body of an online completion request.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type streamChunk struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	errorReply
}

// Stream runs an online request and passes each piece of text to sink. It returns nil only
// for a complete response.
func (c *Client) Stream(ctx context.Context, r CompletionRequest, sink func(string), headers ...Header) error {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return apierr.New(apierr.CodeBadRequest, "encode request body: %v", err)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.prepare(req, http.MethodPost, "/v1/completions", "application/json", body, headers)
	if err := c.http.Do(ctx, req, resp); err != nil {
		return apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "no response: %v", err)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		data, _ := resp.BodyE()
		return responseError(resp.StatusCode(), data)
	}
	rd, err := sse.NewReader(resp)
	if err != nil {
		return apierr.MaybeExecuted(apierr.CodeInternal, "invalid response: %v", err)
	}
	defer func() { _ = rd.Close() }()
	return readStream(rd, sink)
}

func readStream(rd *sse.Reader, sink func(string)) error {
	ev := sse.NewEvent()
	defer ev.Release()
	for {
		if err := rd.Read(ev); err != nil {
			if errors.Is(err, io.EOF) {
				return apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "response truncated: the stream ended before [DONE]")
			}
			return apierr.MaybeExecuted(apierr.CodeOutcomeUnknown, "invalid response: %v", err)
		}
		if string(ev.Data) == "[DONE]" {
			return nil
		}
		var e streamChunk
		if err := json.Unmarshal(ev.Data, &e); err != nil {
			return apierr.MaybeExecuted(apierr.CodeInternal, "invalid response: %v", err)
		}
		if e.Error.Code != "" {
			return e.apiError()
		}
		for _, ch := range e.Choices {
			sink(ch.Text)
		}
	}
}

// Batch is a job as the API returns it.
type Batch struct {
	ID            string `json:"id"`
	Status        string `json:"status"`
	Model         string `json:"model"`
	InputFileID   string `json:"input_file_id"`
	OutputFileID  string `json:"output_file_id"`
	ErrorFileID   string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// Ended reports whether the job is completed or cancelled.
func (b Batch) Ended() bool {
	return b.Status == "completed" || b.Status == "cancelled"
}

// Upload stores a batch file and returns its ID.
func (c *Client) Upload(ctx context.Context, name string, data []byte) (string, error) {
	var body bytes.Buffer
	w := multipart.NewWriter(&body)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := w.CreateFormFile("file", name)
	if err != nil {
		return "", err
	}
	if _, err := part.Write(data); err != nil {
		return "", err
	}
	if err := w.Close(); err != nil {
		return "", err
	}
	reply, err := c.Raw(ctx, http.MethodPost, "/v1/files", w.FormDataContentType(), body.Bytes())
	if err != nil {
		return "", err
	}
	var f struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(reply, &f); err != nil {
		return "", apierr.Executed(apierr.CodeInternal, "invalid response: %v", err)
	}
	return f.ID, nil
}

// Submit creates a job from an uploaded file.
func (c *Client) Submit(ctx context.Context, file, endpoint, window string, headers ...Header) (Batch, error) {
	var b Batch
	in := map[string]string{"input_file_id": file, "endpoint": endpoint, "completion_window": window}
	err := c.JSON(ctx, http.MethodPost, "/v1/batches", in, &b, headers...)
	return b, err
}

// Batch returns a job.
func (c *Client) Batch(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := c.JSON(ctx, http.MethodGet, "/v1/batches/"+id, nil, &b)
	return b, err
}

// Batches returns up to 100 of the newest jobs.
func (c *Client) Batches(ctx context.Context) ([]Batch, error) {
	var list struct {
		Data []Batch `json:"data"`
	}
	err := c.JSON(ctx, http.MethodGet, "/v1/batches?limit=100", nil, &list)
	return list.Data, err
}

// Cancel cancels a job. Its status is "cancelling" until none of its items run.
func (c *Client) Cancel(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := c.JSON(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", nil, &b)
	return b, err
}

// Content returns the content of a file.
func (c *Client) Content(ctx context.Context, id string) ([]byte, error) {
	return c.Raw(ctx, http.MethodGet, "/v1/files/"+id+"/content", "", nil)
}

// Wait polls a job at the given interval until it has ended. Transient errors are retried.
func (c *Client) Wait(ctx context.Context, id string, interval time.Duration) (Batch, error) {
	for {
		b, err := c.Batch(ctx, id)
		if err == nil && b.Ended() {
			return b, nil
		}
		if err != nil && !isTransient(err) {
			return b, err
		}
		if err := wait.For(ctx, interval); err != nil {
			return b, err
		}
	}
}

// isTransient reports whether a failed read may be retried.
func isTransient(err error) bool {
	switch apierr.From(err).Code {
	case apierr.CodeNotOwner, apierr.CodeLogUnavailable, apierr.CodeNotRun, apierr.CodeOutcomeUnknown, apierr.CodeRateLimited:
		return true
	}
	return false
}
