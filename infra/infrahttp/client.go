// Package infrahttp is the HTTP client of the platform's services.
package infrahttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cockroachdb/errors"

	"pumiceford/httpx"
	"pumiceford/infra"
)

// Client implements infra.Log, infra.HostList and infra.WeightStore.
type Client struct {
	base string // http://ip:port
	http *client.Client

	mu    sync.Mutex
	etag  string // version of the cached hosts
	hosts []infra.Host
}

// New returns a Client for a base URL.
func New(base string) (*Client, error) {
	cl, err := httpx.NewClient()
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP client")
	}
	return &Client{base: base, http: cl}, nil
}

// AppendReply is the log's response to an append.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// WireRecord is a record in the response to a read.
type WireRecord struct {
	Offset uint64 `json:"offset"`
	TimeMs int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// ReadReply is the log's response to a read.
type ReadReply struct {
	Records  []WireRecord `json:"records"`
	Earliest uint64       `json:"earliest"`
	Tail     uint64       `json:"tail"`
}

// ErrorReply is an error response of the platform's services.
type ErrorReply struct {
	Code         string `json:"code"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Earliest     uint64 `json:"earliest,omitempty"`
	Tail         uint64 `json:"tail,omitempty"`
}

// Codes of ErrorReply.
const (
	CodeTooLarge  = "too_large"
	CodeThrottled = "throttled"
	CodeTrimmed   = "trimmed"
)

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var reply AppendReply
	path := "/log/append?stream=" + url.QueryEscape(stream)
	err := c.call(ctx, http.MethodPost, path, data, &reply)
	return reply.Offset, err
}

// Read implements infra.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, maxBytes int, wait time.Duration) (infra.Page, error) {
	path := fmt.Sprintf("/log/read?stream=%s&from=%d&max=%d&wait_ms=%d", url.QueryEscape(stream), from, maxBytes, wait.Milliseconds())
	var reply ReadReply
	if err := c.call(ctx, http.MethodGet, path, nil, &reply); err != nil {
		return infra.Page{}, err
	}
	page := infra.Page{Earliest: reply.Earliest, Tail: reply.Tail}
	for _, r := range reply.Records {
		page.Records = append(page.Records, infra.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMs), Data: r.Data})
	}
	return page, nil
}

// Hosts implements infra.HostList. The list of a large fleet is about 80 KB and changes a
// few hundred times a day, so a conditional request fetches it only if its version changed.
func (c *Client) Hosts(ctx context.Context) ([]infra.Host, error) {
	c.mu.Lock()
	etag := c.etag
	c.mu.Unlock()
	r, err := httpx.Do(ctx, c.http, http.MethodGet, c.base+"/hosts", "", nil, etag)
	if err != nil {
		return nil, errors.Mark(err, infra.ErrUnavailable)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Status == http.StatusNotModified {
		return slices.Clone(c.hosts), nil
	}
	if r.Status != http.StatusOK {
		return nil, responseError(r.Body)
	}
	var hosts []infra.Host
	if err := json.Unmarshal(r.Body, &hosts); err != nil {
		return nil, errors.Mark(err, infra.ErrUnavailable)
	}
	c.etag, c.hosts = r.ETag, hosts
	return slices.Clone(hosts), nil
}

// FetchReply is the weight store's response to a fetch.
type FetchReply struct {
	Bytes int64 `json:"bytes"`
}

// Fetch implements infra.WeightStore.
func (c *Client) Fetch(ctx context.Context, model, version string) (int64, error) {
	var reply FetchReply
	path := "/weights?model=" + url.QueryEscape(model) + "&version=" + url.QueryEscape(version)
	err := c.call(ctx, http.MethodGet, path, nil, &reply)
	return reply.Bytes, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	status, data, err := httpx.Call(ctx, c.http, method, c.base+path, "application/octet-stream", body)
	if err != nil {
		// It is unknown whether the call took effect.
		return errors.Mark(err, infra.ErrUnavailable)
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(data, out); err != nil {
			return errors.Mark(err, infra.ErrUnavailable)
		}
		return nil
	}
	return responseError(data)
}

func responseError(data []byte) error {
	var e ErrorReply
	if err := json.Unmarshal(data, &e); err != nil {
		return infra.ErrUnavailable
	}
	switch e.Code {
	case CodeTooLarge:
		return infra.ErrTooLarge
	case CodeThrottled:
		return &infra.ThrottledError{RetryAfter: time.Duration(e.RetryAfterMs) * time.Millisecond}
	case CodeTrimmed:
		return &infra.TrimmedError{Earliest: e.Earliest, Tail: e.Tail}
	}
	return infra.ErrUnavailable
}
