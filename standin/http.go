package standin

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/cockroachdb/errors"

	"pumiceford/engine"
	"pumiceford/engine/enginehttp"
	"pumiceford/httpx"
	"pumiceford/infra"
	"pumiceford/infra/infrahttp"
)

// MaxBody is the largest request body that stand-ins accept, in bytes.
const MaxBody = 8 << 20

// RoutePlatform adds the routes of the log, the host list and the weight store to h.
func RoutePlatform(h *server.Hertz, log *Log, hosts *HostList, weights *Weights) {
	h.POST("/log/append", func(ctx context.Context, c *app.RequestContext) {
		off, err := log.Append(ctx, c.Query("stream"), c.Request.Body())
		if err != nil {
			writeLogError(c, err)
			return
		}
		httpx.WriteJSON(c, 200, infrahttp.AppendReply{Offset: off})
	})
	h.GET("/log/read", func(ctx context.Context, c *app.RequestContext) { serveRead(ctx, c, log) })
	h.GET("/hosts", func(ctx context.Context, c *app.RequestContext) {
		list, err := hosts.Hosts(ctx)
		if err != nil {
			writeLogError(c, err)
			return
		}
		data, err := json.Marshal(list)
		if err != nil {
			c.SetStatusCode(500)
			return
		}
		etag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(data), 16))
		c.Response.Header.Set("ETag", etag)
		if string(c.GetHeader("If-None-Match")) == etag {
			c.SetStatusCode(304)
			return
		}
		c.Data(200, "application/json", data)
	})
	h.PUT("/hosts", func(_ context.Context, c *app.RequestContext) {
		var host infra.Host
		if json.Unmarshal(c.Request.Body(), &host) != nil {
			c.SetStatusCode(400)
			return
		}
		hosts.Put(host)
		httpx.WriteJSON(c, 200, host)
	})
	h.DELETE("/hosts/:name", func(_ context.Context, c *app.RequestContext) {
		hosts.Remove(c.Param("name"))
		httpx.WriteJSON(c, 200, struct{}{})
	})
	h.GET("/weights", func(ctx context.Context, c *app.RequestContext) {
		n, err := weights.Fetch(ctx, c.Query("model"), c.Query("version"))
		if err != nil {
			writeLogError(c, err)
			return
		}
		httpx.WriteJSON(c, 200, infrahttp.FetchReply{Bytes: n})
	})
	h.POST("/faults", func(_ context.Context, c *app.RequestContext) { serveFaults(c, log, hosts) })
}

// Faults is the body of POST /faults, which sets all faults of the platform's
// stand-ins.
type Faults struct {
	LogDown       bool    `json:"log_down"`
	HostsDown     bool    `json:"hosts_down"`
	SlowMs        int     `json:"slow_ms"`
	LoseResponses int     `json:"lose_answers"`
	LostRate      float64 `json:"lost_rate"`
	LateRate      float64 `json:"late_rate"`
}

func serveFaults(c *app.RequestContext, log *Log, hosts *HostList) {
	var f Faults
	if json.Unmarshal(c.Request.Body(), &f) != nil {
		c.SetStatusCode(400)
		return
	}
	log.SetDown(f.LogDown)
	log.SetExtraLatency(time.Duration(f.SlowMs) * time.Millisecond)
	log.LoseResponses(f.LoseResponses)
	log.SetFaultRates(f.LostRate, f.LateRate)
	hosts.SetDown(f.HostsDown)
	httpx.WriteJSON(c, 200, f)
}

func serveRead(ctx context.Context, c *app.RequestContext, log *Log) {
	from, err1 := strconv.ParseUint(c.Query("from"), 10, 64)
	size, err2 := strconv.Atoi(c.Query("max"))
	wait, err3 := strconv.Atoi(c.Query("wait_ms"))
	if err1 != nil || err2 != nil || err3 != nil {
		c.SetStatusCode(400)
		return
	}
	page, err := log.Read(ctx, c.Query("stream"), from, size, time.Duration(wait)*time.Millisecond)
	if err != nil {
		writeLogError(c, err)
		return
	}
	reply := infrahttp.ReadReply{Earliest: page.Earliest, Tail: page.Tail}
	for _, r := range page.Records {
		reply.Records = append(reply.Records, infrahttp.WireRecord{Offset: r.Offset, TimeMs: r.Time.UnixMilli(), Data: r.Data})
	}
	httpx.WriteJSON(c, 200, reply)
}

func writeLogError(c *app.RequestContext, err error) {
	var throttled *infra.ThrottledError
	var trimmed *infra.TrimmedError
	switch {
	case errors.Is(err, infra.ErrTooLarge):
		httpx.WriteJSON(c, 413, infrahttp.ErrorReply{Code: infrahttp.CodeTooLarge})
	case errors.As(err, &throttled):
		httpx.WriteJSON(c, 429, infrahttp.ErrorReply{Code: infrahttp.CodeThrottled, RetryAfterMs: throttled.RetryAfter.Milliseconds() + 1})
	case errors.As(err, &trimmed):
		httpx.WriteJSON(c, 410, infrahttp.ErrorReply{Code: infrahttp.CodeTrimmed, Earliest: trimmed.Earliest, Tail: trimmed.Tail})
	default:
		httpx.WriteJSON(c, 503, infrahttp.ErrorReply{Code: "unavailable"})
	}
}

// engineServer serves one engine over HTTP.
type engineServer struct {
	e *Engine

	mu      sync.Mutex
	streams map[string]engine.Stream
}

// RouteEngine adds the routes of an engine to h: its OpenAI-compatible interface and
// those that tests use.
func RouteEngine(h *server.Hertz, e *Engine) {
	s := &engineServer{e: e, streams: make(map[string]engine.Stream)}
	h.POST("/v1/completions", s.complete)
	h.POST("/v1/requests/:id/cancel", s.cancel)
	h.GET("/load", func(ctx context.Context, c *app.RequestContext) {
		l, _ := e.Load(ctx)
		httpx.WriteJSON(c, 200, l)
	})
	h.GET("/models", func(ctx context.Context, c *app.RequestContext) {
		m, _ := e.Models(ctx)
		httpx.WriteJSON(c, 200, m)
	})
	h.POST("/orders", func(ctx context.Context, c *app.RequestContext) {
		var o engine.Order
		if json.Unmarshal(c.Request.Body(), &o) != nil {
			writeEngineError(c, engine.ErrRejected)
			return
		}
		if err := e.Order(ctx, o); err != nil {
			writeEngineError(c, err)
			return
		}
		httpx.WriteJSON(c, 200, struct{}{})
	})
	h.POST("/crash", func(_ context.Context, c *app.RequestContext) {
		e.Crash()
		httpx.WriteJSON(c, 200, struct{}{})
	})
	h.GET("/cache_events", func(_ context.Context, c *app.RequestContext) {
		after, err := strconv.ParseUint(c.DefaultQuery("after", "0"), 10, 64)
		if err != nil {
			c.SetStatusCode(400)
			return
		}
		httpx.WriteJSON(c, 200, e.CacheEvents(after))
	})
	h.POST("/v1/requests/:id/export", func(_ context.Context, c *app.RequestContext) {
		kv, ok := e.ExportKV(c.Param("id"))
		if !ok {
			writeEngineError(c, engine.ErrRejected)
			return
		}
		httpx.WriteJSON(c, 200, kv)
	})
	h.POST("/v1/import", s.importKV)
	h.GET("/runs", func(_ context.Context, c *app.RequestContext) { httpx.WriteJSON(c, 200, e.RunCounts()) })
	h.GET("/stats", func(_ context.Context, c *app.RequestContext) { httpx.WriteJSON(c, 200, e.Stats()) })
}

func writeEngineError(c *app.RequestContext, err error) {
	httpx.WriteJSON(c, 400, enginehttp.CompletionChunk{Error: &enginehttp.Error{Code: enginehttp.CodeFor(err), Message: err.Error()}})
}

func (s *engineServer) complete(ctx context.Context, c *app.RequestContext) {
	var r enginehttp.CompletionRequest
	if json.Unmarshal(c.Request.Body(), &r) != nil {
		writeEngineError(c, engine.ErrRejected)
		return
	}
	st, err := s.e.Generate(ctx, engine.Request{ID: r.RequestID, Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, ResumeFrom: r.ResumeFrom})
	if err != nil {
		writeEngineError(c, err)
		return
	}
	s.serve(ctx, c, r.RequestID, st)
}

// importKV continues an exported request and streams the rest of its response.
func (s *engineServer) importKV(ctx context.Context, c *app.RequestContext) {
	var kv KV
	if json.Unmarshal(c.Request.Body(), &kv) != nil {
		writeEngineError(c, engine.ErrRejected)
		return
	}
	st, err := s.e.ImportKV(ctx, kv)
	if err != nil {
		writeEngineError(c, err)
		return
	}
	s.serve(ctx, c, kv.Request.ID, st)
}

// serve streams a generation, which can be cancelled by its request ID.
func (s *engineServer) serve(ctx context.Context, c *app.RequestContext, id string, st engine.Stream) {
	defer st.Cancel()
	s.mu.Lock()
	s.streams[id] = st
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.streams, id)
		s.mu.Unlock()
	}()
	s.streamChunks(ctx, sse.NewWriter(c), st)
}

func (s *engineServer) streamChunks(ctx context.Context, w *sse.Writer, st engine.Stream) {
	for {
		c, err := st.Next(ctx)
		chunk := enginehttp.CompletionChunk{Choices: []enginehttp.Choice{{Text: c.Text, Tokens: c.Tokens, FinishReason: c.FinishReason}}}
		if err != nil {
			chunk = enginehttp.CompletionChunk{Error: &enginehttp.Error{Code: enginehttp.CodeFor(err), Message: err.Error()}}
		} else if c.FinishReason != "" {
			chunk.Usage = &enginehttp.Usage{PromptTokens: c.PromptTokens}
		}
		data, _ := json.Marshal(chunk)
		if w.WriteEvent("", "", data) != nil || err != nil || c.FinishReason != "" {
			return
		}
	}
}

func (s *engineServer) cancel(_ context.Context, c *app.RequestContext) {
	s.mu.Lock()
	st := s.streams[c.Param("id")]
	s.mu.Unlock()
	if st != nil {
		st.Cancel()
	}
	httpx.WriteJSON(c, 200, struct{}{})
}

// RouteService adds a route to h that serves all paths from svc.
func RouteService(h *server.Hertz, svc *Service) {
	h.Any("/*path", func(ctx context.Context, c *app.RequestContext) {
		status, contentType, reply, err := svc.Do(ctx, string(c.Method()), string(c.Path()), c.Request.Body())
		if err != nil {
			c.SetStatusCode(503)
			return
		}
		c.Data(status, contentType, reply)
	})
}
