// Package engine defines the interface to a model engine. The platform provides the
// engines; pumiceford only calls them.
package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Request asks for one generation.
type Request struct {
	ID         string // unique at the engine while it runs
	Model      string
	Prompt     string
	MaxTokens  uint32
	ResumeFrom uint32 // tokens already delivered; the engine continues after them
}

// Chunk is the output of one engine step.
type Chunk struct {
	Text         string
	Tokens       uint32
	FinishReason string // not empty in the last chunk
	// PromptTokens is set only in the last chunk.
	PromptTokens uint32
}

// Stream is a running generation.
type Stream interface {
	// Next waits for the next chunk. It must not be called again after the chunk in
	// which FinishReason is set.
	Next(ctx context.Context) (Chunk, error)
	// Cancel stops the generation within one engine step. It may be called at any
	// time and repeatedly.
	Cancel()
}

// Load is an engine's load report. Its values may be out of date.
type Load struct {
	Running  int
	Queued   int
	FreeKV   int // blocks
	TotalKV  int // blocks
	StepTime time.Duration
	AsOf     time.Time
}

// OrderKind is the kind of an Order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
)

// Order changes what an engine serves. Fence is the offset of the config record that
// caused it. Some engines refuse an order with a lower fence than an earlier one.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fence   uint64    `json:"fence"`
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a request at the engine. An error other than ErrLost means
	// that the request was not started.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Load returns the engine's last load report.
	Load(ctx context.Context) (Load, error)
	// Order changes what the engine serves. An engine that checks fences refuses an
	// outdated order with ErrStaleFence.
	Order(ctx context.Context, o Order) error
	// Models returns the names of the loaded models.
	Models(ctx context.Context) ([]string, error)
}

// Errors of engines.
var (
	// ErrRejected means that the engine can never run this request.
	ErrRejected = errors.New("engine rejected the request")
	// ErrTransient means that the engine failed temporarily.
	ErrTransient = errors.New("engine failed, may be tried again")
	// ErrUnavailable means that the engine accepts no requests at present. The request
	// was not started.
	ErrUnavailable = errors.New("engine unavailable")
	// ErrLost means that the engine crashed or the connection to it broke. Its running
	// requests are lost.
	ErrLost = errors.New("engine lost")
	// ErrStaleFence means that the order carried an outdated fence.
	ErrStaleFence = errors.New("order with an old fencing number")
	// ErrUnknownModel means that the model is not loaded.
	ErrUnknownModel = errors.New("model not loaded")
)
