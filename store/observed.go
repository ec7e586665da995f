package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Instrumented is a Client that reports the name, outcome and duration of each call
// to a callback.
type Instrumented struct {
	client  Client
	observe func(call, outcome string, took time.Duration)
}

// NewInstrumented returns a Client that forwards calls to client and reports each of them to
// observe after it returns.
func NewInstrumented(client Client, observe func(call, outcome string, took time.Duration)) *Instrumented {
	return &Instrumented{client: client, observe: observe}
}

// outcome maps an error to its label in metrics.
func outcome(err error) string {
	var conflict *ConflictError
	var trimmed *TrimmedError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &trimmed):
		return "trimmed"
	case errors.Is(err, ErrFull):
		return "full"
	case errors.Is(err, ErrRefused):
		return "refused"
	}
	return "no_answer"
}

func (i *Instrumented) record(call string, start time.Time, err error) {
	i.observe(call, outcome(err), time.Since(start))
}

// Append implements Log.
func (i *Instrumented) Append(ctx context.Context, p Partition, recs []Record, at int64) (int64, error) {
	start := time.Now()
	end, err := i.client.Append(ctx, p, recs, at)
	i.record("append", start, err)
	return end, err
}

// Read implements Log.
func (i *Instrumented) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	start := time.Now()
	page, err := i.client.Read(ctx, p, from, wait)
	i.record("read", start, err)
	return page, err
}

// Newest implements Log.
func (i *Instrumented) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	start := time.Now()
	snap, err := i.client.Newest(ctx, p, after)
	i.record("newest", start, err)
	return snap, err
}

// Join implements Groups.
func (i *Instrumented) Join(ctx context.Context, req JoinRequest) (Membership, error) {
	start := time.Now()
	m, err := i.client.Join(ctx, req)
	i.record("join", start, err)
	return m, err
}

// Leave implements Groups.
func (i *Instrumented) Leave(ctx context.Context, group, member string) error {
	start := time.Now()
	err := i.client.Leave(ctx, group, member)
	i.record("leave", start, err)
	return err
}

// Owners implements Groups.
func (i *Instrumented) Owners(ctx context.Context, group string) ([]Owner, error) {
	start := time.Now()
	owners, err := i.client.Owners(ctx, group)
	i.record("owners", start, err)
	return owners, err
}

// DropIdle implements Reconnector.
func (i *Instrumented) DropIdle() {
	if r, ok := i.client.(Reconnector); ok {
		r.DropIdle()
	}
}
