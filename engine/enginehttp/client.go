// Package enginehttp is the client of a model engine with an OpenAI-compatible HTTP
// interface and server-sent events.
package enginehttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/cockroachdb/errors"

	"pumiceford/engine"
	"pumiceford/httpx"
)

// Client implements engine.Engine.
type Client struct {
	base string
	http *client.Client
}

// New returns a Client for the engine at a base URL.
func New(base string) (*Client, error) {
	cl, err := httpx.NewClient()
	if err != nil {
		return nil, errors.Wrap(err, "http client")
	}
	return &Client{base: base, http: cl}, nil
}

// CompletionRequest is the body of a completion request. RequestID and ResumeFrom are
// extensions of the engines for cancelling and resuming streams.
type CompletionRequest struct {
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  uint32 `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	RequestID  string `json:"request_id"`
	ResumeFrom uint32 `json:"resume_from,omitempty"`
}

// CompletionChunk is one event of a streamed completion.
type CompletionChunk struct {
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Error   *Error   `json:"error,omitempty"`
}

// Choice is the single choice of a chunk.
type Choice struct {
	Text         string `json:"text"`
	Tokens       uint32 `json:"tokens"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// Error is an error that the engine reports.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Codes of Error.
const (
	CodeRejected     = "rejected"
	CodeBusy         = "busy"
	CodeLost         = "lost"
	CodeUnknownModel = "model_not_found"
	CodeStaleFence   = "stale_fence"
	CodeUnavailable  = "unavailable"
)

// ErrorFor maps a code to an error of package engine. An unknown code gives
// engine.ErrLost.
func ErrorFor(code string) error {
	switch code {
	case CodeRejected:
		return engine.ErrRejected
	case CodeBusy:
		return engine.ErrTransient
	case CodeUnavailable:
		return engine.ErrUnavailable
	case CodeUnknownModel:
		return engine.ErrUnknownModel
	case CodeStaleFence:
		return engine.ErrStaleFence
	}
	return engine.ErrLost
}

// CodeFor maps an error of package engine to its code. Any other error gives CodeLost.
func CodeFor(err error) string {
	switch {
	case errors.Is(err, engine.ErrRejected):
		return CodeRejected
	case errors.Is(err, engine.ErrTransient):
		return CodeBusy
	case errors.Is(err, engine.ErrUnavailable):
		return CodeUnavailable
	case errors.Is(err, engine.ErrUnknownModel):
		return CodeUnknownModel
	case errors.Is(err, engine.ErrStaleFence):
		return CodeStaleFence
	}
	return CodeLost
}

// Generate implements engine.Engine.
func (c *Client) Generate(ctx context.Context, r engine.Request) (engine.Stream, error) {
	body, err := json.Marshal(CompletionRequest{
		Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true,
		RequestID: r.ID, ResumeFrom: r.ResumeFrom,
	})
	if err != nil {
		return nil, errors.Mark(err, engine.ErrRejected)
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.SetMethod(http.MethodPost)
	req.SetRequestURI(c.base + "/v1/completions")
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	err = c.http.Do(ctx, req, resp)
	protocol.ReleaseRequest(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Mark(err, engine.ErrUnavailable)
	}
	if err != nil {
		// The engine may have received the request before the connection broke.
		return nil, errors.Mark(err, engine.ErrLost)
	}
	if resp.StatusCode() != http.StatusOK {
		defer protocol.ReleaseResponse(resp)
		return nil, responseError(resp)
	}
	return c.newStream(r.ID, resp)
}

func responseError(resp *protocol.Response) error {
	data, err := resp.BodyE()
	if err != nil {
		return errors.Mark(err, engine.ErrLost)
	}
	var chunk CompletionChunk
	if json.Unmarshal(data, &chunk) != nil || chunk.Error == nil {
		return engine.ErrTransient
	}
	return ErrorFor(chunk.Error.Code)
}

func (c *Client) newStream(id string, resp *protocol.Response) (engine.Stream, error) {
	rd, err := sse.NewReader(resp)
	if err != nil {
		return nil, errors.Mark(err, engine.ErrLost)
	}
	st := &stream{client: c, id: id, results: make(chan result, 1), stop: make(chan struct{})}
	go st.read(rd)
	return st, nil
}

type result struct {
	chunk engine.Chunk
	err   error
}

type stream struct {
	client    *Client
	id        string
	results   chan result
	stop      chan struct{}
	ended     bool // the last chunk or an error was returned
	cancelled bool
}

// read passes the results to Next until the stream ends or is cancelled.
func (s *stream) read(rd *sse.Reader) {
	defer func() { _ = rd.Close() }()
	ev := sse.NewEvent()
	defer ev.Release()
	for {
		r := readResult(rd, ev)
		select {
		case s.results <- r:
		case <-s.stop:
			return
		}
		if r.err != nil || r.chunk.FinishReason != "" {
			return
		}
	}
}

func readResult(rd *sse.Reader, ev *sse.Event) result {
	if err := rd.Read(ev); err != nil {
		// An EOF before the last chunk means that the engine is lost, not that the
		// answer is complete.
		if errors.Is(err, io.EOF) {
			return result{err: engine.ErrLost}
		}
		return result{err: errors.Mark(err, engine.ErrLost)}
	}
	var c CompletionChunk
	if err := json.Unmarshal(ev.Data, &c); err != nil {
		return result{err: errors.Mark(err, engine.ErrLost)}
	}
	if c.Error != nil {
		return result{err: ErrorFor(c.Error.Code)}
	}
	var out engine.Chunk
	for _, ch := range c.Choices {
		out.Text += ch.Text
		out.Tokens += ch.Tokens
		out.FinishReason = ch.FinishReason
	}
	if c.Usage != nil {
		out.PromptTokens = c.Usage.PromptTokens
	}
	return result{chunk: out}
}

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Chunk, error) {
	select {
	case r := <-s.results:
		s.ended = r.err != nil || r.chunk.FinishReason != ""
		return r.chunk, r.err
	case <-ctx.Done():
		return engine.Chunk{}, ctx.Err()
	}
}

// cancelTimeout bounds the call that cancels a stream at the engine.
const cancelTimeout = time.Second

// Cancel implements engine.Stream.
func (s *stream) Cancel() {
	if s.cancelled {
		return
	}
	s.cancelled = true
	close(s.stop)
	if s.ended {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// If the engine does not answer, it stops the request when it detects the closed
	// connection.
	_, _, _ = httpx.Call(ctx, s.client.http, http.MethodPost, s.client.base+"/v1/requests/"+s.id+"/cancel", "", nil)
}

// Load implements engine.Engine.
func (c *Client) Load(ctx context.Context) (engine.Load, error) {
	var l engine.Load
	err := c.get(ctx, "/load", &l)
	return l, err
}

// Models implements engine.Engine.
func (c *Client) Models(ctx context.Context) ([]string, error) {
	var m []string
	err := c.get(ctx, "/models", &m)
	return m, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	status, data, err := httpx.Call(ctx, c.http, http.MethodGet, c.base+path, "", nil)
	if err != nil || status != http.StatusOK {
		return errors.Mark(errors.Newf("GET %s: status %d", path, status), engine.ErrLost)
	}
	return json.Unmarshal(data, into)
}

// Order implements engine.Engine.
func (c *Client) Order(ctx context.Context, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Mark(err, engine.ErrRejected)
	}
	status, data, err := httpx.Call(ctx, c.http, http.MethodPost, c.base+"/orders", "application/json", body)
	if err != nil {
		return errors.Mark(err, engine.ErrLost)
	}
	if status == http.StatusOK {
		return nil
	}
	var chunk CompletionChunk
	if json.Unmarshal(data, &chunk) == nil && chunk.Error != nil {
		return ErrorFor(chunk.Error.Code)
	}
	return engine.ErrTransient
}

// Service calls a plain service over HTTP. It implements agent.Service and never
// retries a call.
type Service struct {
	base string
	http *client.Client
}

// NewService returns a Service for a base URL.
func NewService(base string) (*Service, error) {
	cl, err := httpx.NewClient()
	if err != nil {
		return nil, errors.Wrap(err, "http client")
	}
	return &Service{base: base, http: cl}, nil
}

// Do implements agent.Service. The content type of the reply is always
// "application/json".
func (s *Service) Do(ctx context.Context, method, path string, body []byte) (int, string, []byte, error) {
	status, data, err := httpx.Call(ctx, s.http, method, s.base+path, "application/json", body)
	return status, "application/json", data, err
}
