package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"pumiceford/agent"
	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/config"
	"pumiceford/connguard"
	"pumiceford/httpx"
	"pumiceford/wire"
)

// Limits of callers' requests.
const (
	MaxCallerBodyBytes = 256 << 20 // for a batch file; MaxPromptBytes limits other bodies
	MaxPromptBytes     = 1 << 20
	MaxKeyBytes        = 256
	defaultTimeout     = 60 * time.Second
	defaultMaxTokens   = 64
)

// Headers of the callers' interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "X-Pumice-Non-Idempotent"
	HeaderTimeout        = "X-Pumice-Timeout-Ms"
	HeaderRan            = "X-Pumice-Ran" // "yes", "no" or "unknown"; set on every error response
	HeaderRequestID      = "X-Request-Id"
)

// ServeCallers serves the callers' interface on ln until ctx ends.
func (e *Entry) ServeCallers(ctx context.Context, ln net.Listener) error {
	h := httpx.NewGuardedServer(ln, MaxCallerBodyBytes, e.cfg.CallerGuard)
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.SetStatusCode(200) })
	h.GET("/readyz", func(_ context.Context, c *app.RequestContext) {
		if !e.Ready() {
			c.SetStatusCode(503)
			return
		}
		c.SetStatusCode(200)
	})
	h.GET("/v1/models", e.handleCaller(e.serveModels))
	h.POST("/v1/completions", e.handleCaller(e.serveCompletion))
	h.POST("/v1/chat/completions", e.handleCaller(e.serveChat))
	h.Any("/v1/services/:service/*path", e.handleCaller(e.serveService))
	e.routeBatch(h)
	return httpx.Serve(ctx, h)
}

// serveMetrics returns the handler of /metrics.
func (e *Entry) serveMetrics() app.HandlerFunc {
	handler := promhttp.HandlerFor(e.cfg.Metrics.Registry, promhttp.HandlerOpts{})
	return adaptor.HertzHandler(handler)
}

// callerHandler handles a request of an authenticated workspace.
type callerHandler func(ctx context.Context, c *app.RequestContext, ws config.Workspace) error

// handleCaller wraps fn: it counts the request as in flight, authenticates its bearer key and
// writes errors as responses.
func (e *Entry) handleCaller(fn callerHandler) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		defer e.beginRequest()()
		ws, err := e.authenticate(c)
		if err == nil {
			err = fn(ctx, c, ws)
		}
		if err != nil {
			writeError(c, err)
		}
	}
}

func bearerKey(c *app.RequestContext) string {
	auth := string(c.GetHeader("Authorization"))
	key, ok := strings.CutPrefix(auth, "Bearer ")
	if !ok {
		return ""
	}
	return key
}

func (e *Entry) authenticate(c *app.RequestContext) (config.Workspace, error) {
	if !e.follower.Synced() {
		return config.Workspace{}, apierr.New(apierr.CodeNotRun, "this entry has no configuration yet").WithRetryAfter(time.Second)
	}
	var ws config.Workspace
	ok := false
	hash := HashKey(bearerKey(c))
	e.follower.View(func(s *config.State) { ws, ok = s.WorkspaceByKey(hash) })
	if !ok {
		return ws, apierr.New(apierr.CodeUnauthorized, "unknown key")
	}
	if !e.allowRequest(ws) {
		return ws, apierr.New(apierr.CodeRateLimited, "the workspace's rate limit is reached").WithRetryAfter(time.Second)
	}
	return ws, nil
}

// errorBody is the JSON body of every error response, in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	Ran     string `json:"ran"`
}

func ranText(r wire.Ran) string {
	switch r {
	case wire.Ran_RAN_NO:
		return "no"
	case wire.Ran_RAN_YES:
		return "yes"
	}
	return "unknown"
}

func newErrorBody(err error) (*apierr.Error, errorBody) {
	fail := apierr.From(err)
	return fail, errorBody{Error: errorDetail{
		Code: string(fail.Code), Type: string(fail.Code), Message: fail.Message, Ran: ranText(fail.Ran),
	}}
}

func writeError(c *app.RequestContext, err error) {
	fail, body := newErrorBody(err)
	c.Response.Header.Set(HeaderRan, ranText(fail.Ran))
	if fail.RetryAfter > 0 {
		c.Response.Header.Set("Retry-After", strconv.Itoa(int((fail.RetryAfter+time.Second-1)/time.Second)))
		c.Response.Header.Set("Retry-After-Ms", strconv.FormatInt(fail.RetryAfter.Milliseconds(), 10))
	}
	httpx.WriteJSON(c, fail.Status(), body)
}

// uploadRetryAfter is the retry-after of a request for which there is no memory. Requests that lag
// make room in that time.
const uploadRetryAfter = time.Second

// Refusal returns the HTTP response to a request that was not received in full. The cause is an
// error of package connguard.
func Refusal(cause error) []byte {
	var ended *connguard.Error
	fail := apierr.New(apierr.CodeOverloaded, "the requests of all callers hold too much memory").WithRetryAfter(uploadRetryAfter)
	switch {
	case errors.As(cause, &ended) && ended.TimedOut():
		fail = apierr.New(apierr.CodeDeadlineExceeded, "the request did not arrive in time")
	case errors.Is(cause, connguard.ErrBodyTooLarge):
		fail = apierr.New(apierr.CodeTooLarge, "the request exceeds the memory for requests")
	}
	_, detail := newErrorBody(fail)
	body, err := json.Marshal(detail)
	if err != nil {
		body = nil // strings always encode; the status says enough
	}
	retry := ""
	if fail.RetryAfter > 0 {
		retry = fmt.Sprintf("Retry-After: %d\r\n", int(fail.RetryAfter/time.Second))
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		fail.Status(), http.StatusText(fail.Status()), HeaderRan, ranText(fail.Ran), retry, len(body), body)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version"`
}

func (e *Entry) serveModels(_ context.Context, c *app.RequestContext, _ config.Workspace) error {
	list := modelList{Object: "list", Data: []modelInfo{}}
	e.follower.View(func(s *config.State) {
		for _, m := range s.Models() {
			list.Data = append(list.Data, modelInfo{ID: m.Name, Object: "model", OwnedBy: "fleet", Version: m.Version})
		}
	})
	httpx.WriteJSON(c, 200, list)
	return nil
}

func (e *Entry) modelExists(name string) bool {
	exists := false
	e.follower.View(func(s *config.State) { _, exists = s.Model(name) })
	return exists
}

// completionBody is the request body of both text and chat completions.
type completionBody struct {
	Model               string              `json:"model"`
	Prompt              string              `json:"prompt"`
	Messages            []batch.ChatMessage `json:"messages"`
	MaxTokens           uint32              `json:"max_tokens"`
	MaxCompletionTokens uint32              `json:"max_completion_tokens"`
	Stream              bool                `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// decodeCompletion parses and validates the body of a completion request, and
// fills in the default number of tokens. The prompt of a chat is built from its
// messages.
func decodeCompletion(body []byte, chat bool) (completionBody, error) {
	var b completionBody
	if len(body) > MaxPromptBytes {
		return b, apierr.New(apierr.CodeTooLarge, "body is over %d bytes", MaxPromptBytes)
	}
	if !utf8.Valid(body) {
		return b, apierr.New(apierr.CodeBadRequest, "body is not UTF-8")
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return b, apierr.New(apierr.CodeBadRequest, "body: %v", err)
	}
	if chat {
		b.Prompt = batch.ChatPrompt(b.Messages)
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = b.MaxCompletionTokens
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultMaxTokens
	}
	switch {
	case b.Model == "":
		return b, apierr.New(apierr.CodeBadRequest, "model is missing")
	case b.Prompt == "":
		return b, apierr.New(apierr.CodeBadRequest, "the prompt is empty")
	case b.MaxTokens > batch.MaxTokensLimit:
		return b, apierr.New(apierr.CodeBadRequest, "max_tokens is over %d", batch.MaxTokensLimit)
	}
	return b, nil
}

// newRequest returns a Request with the settings from the headers that every
// online and batch request may carry.
func newRequest(c *app.RequestContext, ws config.Workspace) (*Request, error) {
	timeout := defaultTimeout
	if v := string(c.GetHeader(HeaderTimeout)); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || time.Duration(ms)*time.Millisecond > agent.MaxTimeout {
			return nil, apierr.New(apierr.CodeBadRequest, "%s must be 1 to %d", HeaderTimeout, agent.MaxTimeout.Milliseconds())
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	key := string(c.GetHeader(HeaderIdempotencyKey))
	if len(key) > MaxKeyBytes || !utf8.ValidString(key) {
		return nil, apierr.New(apierr.CodeBadRequest, "%s must be UTF-8 of at most %d bytes", HeaderIdempotencyKey, MaxKeyBytes)
	}
	return &Request{
		ID:            uuid.New(),
		Workspace:     ws.Name,
		Weight:        ws.Share,
		Deadline:      time.Now().Add(timeout),
		Key:           key,
		NonIdempotent: string(c.GetHeader(HeaderNonIdempotent)) == "true",
	}, nil
}

func (e *Entry) serveCompletion(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	return e.complete(ctx, c, ws, false)
}

func (e *Entry) serveChat(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	return e.complete(ctx, c, ws, true)
}

func (e *Entry) complete(ctx context.Context, c *app.RequestContext, ws config.Workspace, chat bool) error {
	body, err := decodeCompletion(c.Request.Body(), chat)
	if err != nil {
		return err
	}
	req, err := newRequest(c, ws)
	if err != nil {
		return err
	}
	req.Model = body.Model
	req.Prompt = body.Prompt
	req.MaxTokens = body.MaxTokens
	c.Response.Header.Set(HeaderRequestID, req.ID.String())
	out := &completionWriter{c: c, chat: chat, model: req.Model, id: req.ID.String(), includeUsage: body.StreamOptions.IncludeUsage}
	if !body.Stream {
		return e.completeBuffered(ctx, req, out)
	}
	return e.completeStream(ctx, req, out)
}

// serveService routes a request to a plain HTTP service. POST and PATCH requests
// are not retried unless the caller marks them as idempotent.
func (e *Entry) serveService(ctx context.Context, c *app.RequestContext, ws config.Workspace) error {
	if len(c.Request.Body()) > MaxPromptBytes {
		return apierr.New(apierr.CodeTooLarge, "body is over %d bytes", MaxPromptBytes)
	}
	req, err := newRequest(c, ws)
	if err != nil {
		return err
	}
	req.Service = c.Param("service")
	req.Method = string(c.Method())
	req.Path = "/" + strings.TrimPrefix(c.Param("path"), "/")
	req.Body = append([]byte(nil), c.Request.Body()...)
	req.NonIdempotent = serviceNonIdempotent(req.Method, string(c.GetHeader(HeaderNonIdempotent)))
	var reply []byte
	end, err := e.Do(ctx, req, func(p *wire.Piece) error {
		reply = append(reply, p.GetText()...)
		return nil
	})
	if err != nil {
		return err
	}
	c.Data(int(end.GetStatus()), end.GetContentType(), reply)
	return nil
}

func serviceNonIdempotent(method, header string) bool {
	if header != "" {
		return header != "false"
	}
	return method == "POST" || method == "PATCH"
}
