package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Observed is a Client that tells of each call: its name, its outcome and how
// long it took.
type Observed struct {
	client  Client
	observe func(call, outcome string, took time.Duration)
}

// NewObserved returns an Observed.
func NewObserved(client Client, told func(call, outcome string, took time.Duration)) *Observed {
	return &Observed{client: client, observe: told}
}

// outcome names an error for counters.
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

func (o *Observed) record(call string, began time.Time, err error) {
	o.observe(call, outcome(err), time.Since(began))
}

// Append implements Log.
func (o *Observed) Append(ctx context.Context, p Partition, recs []Record, at int64) (int64, error) {
	began := time.Now()
	end, err := o.client.Append(ctx, p, recs, at)
	o.record("append", began, err)
	return end, err
}

// Read implements Log.
func (o *Observed) Read(ctx context.Context, p Partition, from int64, wait time.Duration) (Page, error) {
	began := time.Now()
	page, err := o.client.Read(ctx, p, from, wait)
	o.record("read", began, err)
	return page, err
}

// Newest implements Log.
func (o *Observed) Newest(ctx context.Context, p Partition, after string) (Snapshot, error) {
	began := time.Now()
	snap, err := o.client.Newest(ctx, p, after)
	o.record("newest", began, err)
	return snap, err
}

// Join implements Groups.
func (o *Observed) Join(ctx context.Context, req JoinRequest) (Membership, error) {
	began := time.Now()
	m, err := o.client.Join(ctx, req)
	o.record("join", began, err)
	return m, err
}

// Leave implements Groups.
func (o *Observed) Leave(ctx context.Context, group, member string) error {
	began := time.Now()
	err := o.client.Leave(ctx, group, member)
	o.record("leave", began, err)
	return err
}

// Owners implements Groups.
func (o *Observed) Owners(ctx context.Context, group string) ([]Owner, error) {
	began := time.Now()
	owners, err := o.client.Owners(ctx, group)
	o.record("owners", began, err)
	return owners, err
}
