// Package engine declares the port to a model engine. The platform gives the
// engines; pumiceford only calls them.
package engine

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one generation.
type Request struct {
	ID         string // unique at the engine while it runs
	Model      string
	Prompt     string
	MaxTokens  uint32
	ResumeFrom uint32 // tokens already delivered elsewhere; the engine continues behind them
}

// Chunk is what one engine step gave.
type Chunk struct {
	Text   string
	Tokens uint32
	Finish string // not empty in the last chunk
	// PromptTokens is set in the last chunk.
	PromptTokens uint32
}

// Stream is a running generation.
type Stream interface {
	// Next blocks for the next chunk. After the chunk with Finish set it must
	// not be called again.
	Next(ctx context.Context) (Chunk, error)
	// Cancel stops the generation within one engine step. It may be called at
	// any time and more than once.
	Cancel()
}

// Load is an engine's report, which lags behind.
type Load struct {
	Running  int
	Queued   int
	FreeKV   int // blocks
	TotalKV  int // blocks
	StepTime time.Duration
	AsOf     time.Time
}

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
)

// Order changes what an engine serves. Fence is the offset of the config record
// that caused it; some engines refuse an order older than one they have seen.
type Order struct {
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fence   uint64    `json:"fence"`
}

// Engine is one model engine.
type Engine interface {
	// Generate hands a request to the engine. An error other than ErrLost means
	// that the request was not started.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Load returns the engine's last report.
	Load(ctx context.Context) (Load, error)
	// Order changes what the engine serves. It returns ErrStaleFence from an
	// engine that checks fences.
	Order(ctx context.Context, o Order) error
	// Models lists the models that are loaded, by name.
	Models(ctx context.Context) ([]string, error)
}

// Failures of engines.
var (
	// ErrRejected says that the engine can never run this request.
	ErrRejected = errors.New("engine rejected the request")
	// ErrBusy says that the engine failed for a reason that may pass.
	ErrBusy = errors.New("engine failed, may be tried again")
	// ErrUnavailable says that the engine takes nothing now. The request was not
	// started.
	ErrUnavailable = errors.New("engine unavailable")
	// ErrLost says that the engine died; what it was running is gone.
	ErrLost = errors.New("engine lost")
	// ErrStaleFence says that the order carried an old fencing number.
	ErrStaleFence = errors.New("order with an old fencing number")
	// ErrUnknownModel says that the model is not loaded.
	ErrUnknownModel = errors.New("model not loaded")
)
