// Package client calls the callers' and operators' interfaces of an entry. The
// command line uses it; programs may use any OpenAI client instead.
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

// Client calls one interface with one key.
type Client struct {
	base string
	key  string
	http *hertz.Client
}

// New returns a Client for a base URL and a bearer key.
func New(base, key string) (*Client, error) {
	cl, err := httpx.NewClient()
	if err != nil {
		return nil, errors.Wrap(err, "http client")
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

func (r errorReply) err() *apierr.Error {
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

// Raw makes a request and returns the body of a successful answer. A refusal is
// an apierr.Error.
func (c *Client) Raw(ctx context.Context, method, path, contentType string, body []byte, headers ...Header) ([]byte, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.fill(req, method, path, contentType, body, headers)
	if err := c.http.Do(ctx, req, resp); err != nil {
		return nil, apierr.Unknown(apierr.CodeOutcomeUnknown, "no answer: %v", err)
	}
	data, err := resp.BodyE()
	if err != nil {
		return nil, apierr.Unknown(apierr.CodeOutcomeUnknown, "answer cut off: %v", err)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		return nil, refusal(resp.StatusCode(), data)
	}
	return bytes.Clone(data), nil
}

func refusal(status int, data []byte) error {
	var r errorReply
	if json.Unmarshal(data, &r) != nil || r.Error.Code == "" {
		return apierr.Unknown(apierr.CodeInternal, "status %d", status)
	}
	return r.err()
}

func (c *Client) fill(req *protocol.Request, method, path, contentType string, body []byte, headers []Header) {
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

// JSON makes a request with a JSON body and reads the JSON answer into out.
func (c *Client) JSON(ctx context.Context, method, path string, in, out any, headers ...Header) error {
	var body []byte
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return apierr.New(apierr.CodeBadRequest, "body: %v", err)
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
		return apierr.Executed(apierr.CodeInternal, "answer: %v", err)
	}
	return nil
}

// CompletionRequest is an online request.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type streamEvent struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	errorReply
}

// Stream runs an online request and gives each piece of text to sink. It returns
// nil only for a whole answer.
func (c *Client) Stream(ctx context.Context, r CompletionRequest, sink func(string), headers ...Header) error {
	r.Stream = true
	body, err := json.Marshal(r)
	if err != nil {
		return apierr.New(apierr.CodeBadRequest, "body: %v", err)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	c.fill(req, http.MethodPost, "/v1/completions", "application/json", body, headers)
	if err := c.http.Do(ctx, req, resp); err != nil {
		return apierr.Unknown(apierr.CodeOutcomeUnknown, "no answer: %v", err)
	}
	if resp.StatusCode() >= http.StatusBadRequest {
		data, _ := resp.BodyE()
		return refusal(resp.StatusCode(), data)
	}
	rd, err := sse.NewReader(resp)
	if err != nil {
		return apierr.Unknown(apierr.CodeInternal, "answer: %v", err)
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
				return apierr.Unknown(apierr.CodeOutcomeUnknown, "answer cut off")
			}
			return apierr.Unknown(apierr.CodeOutcomeUnknown, "answer: %v", err)
		}
		if string(ev.Data) == "[DONE]" {
			return nil
		}
		var e streamEvent
		if err := json.Unmarshal(ev.Data, &e); err != nil {
			return apierr.Unknown(apierr.CodeInternal, "answer: %v", err)
		}
		if e.Error.Code != "" {
			return e.err()
		}
		for _, ch := range e.Choices {
			sink(ch.Text)
		}
	}
}

// Batch is a job as callers see it.
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

// Ended reports whether the job has reached its end.
func (b Batch) Ended() bool {
	return b.Status == "completed" || b.Status == "cancelled"
}

// Upload stores a batch file and returns its id.
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
		return "", apierr.Executed(apierr.CodeInternal, "answer: %v", err)
	}
	return f.ID, nil
}

// Submit creates a job over an uploaded file.
func (c *Client) Submit(ctx context.Context, file, endpoint, window string, headers ...Header) (Batch, error) {
	var b Batch
	in := map[string]string{"input_file_id": file, "endpoint": endpoint, "completion_window": window}
	err := c.JSON(ctx, http.MethodPost, "/v1/batches", in, &b, headers...)
	return b, err
}

// Batch reads a job.
func (c *Client) Batch(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := c.JSON(ctx, http.MethodGet, "/v1/batches/"+id, nil, &b)
	return b, err
}

// Batches lists the newest jobs.
func (c *Client) Batches(ctx context.Context) ([]Batch, error) {
	var list struct {
		Data []Batch `json:"data"`
	}
	err := c.JSON(ctx, http.MethodGet, "/v1/batches?limit=100", nil, &list)
	return list.Data, err
}

// Cancel cancels a job. Its status is "cancelling" until nothing of it runs.
func (c *Client) Cancel(ctx context.Context, id string) (Batch, error) {
	var b Batch
	err := c.JSON(ctx, http.MethodPost, "/v1/batches/"+id+"/cancel", nil, &b)
	return b, err
}

// Content reads a file.
func (c *Client) Content(ctx context.Context, id string) ([]byte, error) {
	return c.Raw(ctx, http.MethodGet, "/v1/files/"+id+"/content", "", nil)
}

// Wait polls a job until it has ended.
func (c *Client) Wait(ctx context.Context, id string, every time.Duration) (Batch, error) {
	for {
		b, err := c.Batch(ctx, id)
		if err == nil && b.Ended() {
			return b, nil
		}
		if err != nil && !temporary(err) {
			return b, err
		}
		if err := wait.For(ctx, every); err != nil {
			return b, err
		}
	}
}

// temporary reports whether a read may be tried again.
func temporary(err error) bool {
	switch apierr.From(err).Code {
	case apierr.CodeNotOwner, apierr.CodeLogDown, apierr.CodeNotRun, apierr.CodeOutcomeUnknown, apierr.CodeRateLimited:
		return true
	}
	return false
}
