// Package httpx creates hertz servers and clients with the same options in all processes.
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"pumiceford/connguard"
)

func init() {
	// hertz has its own logger. Its lines are discarded because the failures that matter are
	// also returned as errors.
	hlog.SetOutput(io.Discard)
}

// Limits and timeouts of HTTP servers and clients.
const (
	MaxHeaderBytes = connguard.HertzBufferBytes
	idleTimeout    = 2 * time.Minute
	dialTimeout    = 2 * time.Second
	maxConns       = 4096
)

// NewServer returns a hertz server on ln that rejects request bodies over maxBody bytes.
func NewServer(ln net.Listener, maxBody int, opts ...config.Option) *server.Hertz {
	all := []config.Option{
		server.WithListener(ln),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(MaxHeaderBytes),
		server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true),
		server.WithSenseClientDisconnection(true),
		server.WithExitWaitTime(0),
	}
	return server.New(append(all, opts...)...)
}

// NewGuardedServer is NewServer with connections that guard guards; nil guards none. A connection's
// buffer has room for the largest header, since hertz copies a header that is spread over several buffers each
// time that a part of it arrives.
func NewGuardedServer(ln net.Listener, maxBody int, guard *connguard.Guard) *server.Hertz {
	if guard == nil {
		return NewServer(ln, maxBody)
	}
	h := NewServer(guard.Listener(ln), maxBody, server.WithReadBufferSize(connguard.HertzBufferBytes), server.WithOnAccept(func(c net.Conn) context.Context {
		return connguard.NewContext(context.Background(), c)
	}))
	h.Use(func(ctx context.Context, c *app.RequestContext) {
		conn := connguard.FromContext(ctx)
		defer conn.EndRequest(true)
		if conn.BeginRequest(false) != nil {
			c.SetConnectionClose()
			c.AbortWithStatus(consts.StatusServiceUnavailable)
			return
		}
		c.Next(ctx)
	})
	return h
}

// Serve runs h until ctx ends. It does not wait for requests in flight; a caller that must
// finish them does so before it ends ctx.
func Serve(ctx context.Context, h *server.Hertz) error {
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		// Connections that are still open after the timeout close when the process exits.
		_ = h.Shutdown(shutdownCtx)
	})
	defer stop()
	err := h.Run()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// NewClient returns a hertz client whose response bodies are streams.
func NewClient() (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConns),
		client.WithResponseBodyStream(true),
	)
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(c *app.RequestContext, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.Data(500, "application/json", []byte(`{"error":{"code":"internal"}}`))
		return
	}
	c.Data(status, "application/json", data)
}

// Response is a response with its whole body.
type Response struct {
	Status int
	ETag   string
	Body   []byte
}

// Call makes a request and returns the status and the whole body of the response.
func Call(ctx context.Context, cl *client.Client, method, url, contentType string, body []byte) (int, []byte, error) {
	r, err := Do(ctx, cl, method, url, contentType, body, "")
	return r.Status, r.Body, err
}

// Do makes a request and returns the whole response. If etag is not empty, the request is
// conditional: the status is 304 while the version is still etag. The deadline of ctx bounds
// the request.
func Do(ctx context.Context, cl *client.Client, method, url, contentType string, body []byte, etag string) (Response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(url)
	if contentType != "" {
		req.Header.SetContentTypeBytes([]byte(contentType))
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	if body != nil {
		req.SetBody(body)
	}
	if dl, ok := ctx.Deadline(); ok {
		req.SetOptions(config.WithRequestTimeout(time.Until(dl)))
	}
	if err := cl.Do(ctx, req, resp); err != nil {
		return Response{}, err
	}
	data, err := resp.BodyE()
	if err != nil {
		return Response{}, err
	}
	return Response{Status: resp.StatusCode(), ETag: resp.Header.Get("ETag"), Body: bytes.Clone(data)}, nil
}
