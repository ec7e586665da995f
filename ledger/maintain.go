package ledger

import (
	"cmp"
	"context"
	"slices"
	"time"

	"pumiceford/batch"
	"pumiceford/infra"
	"pumiceford/logging"
	"pumiceford/wire"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// snapshotRetentionDivisor sets the oldest age of a snapshot, as the retention
// divided by it. A snapshot of that age is replaced even if few records followed
// it.
const snapshotRetentionDivisor = 4

// carryRetentionDivisor sets the age above which needed records are carried
// forward, as the retention divided by it.
const carryRetentionDivisor = 2

// maintain writes a snapshot when one is due or requested. Before the snapshot it
// carries forward old records that are still needed. Like flush, it blocks while
// the log does not answer.
func (o *Owner) maintain(ctx context.Context) error {
	o.mu.Lock()
	behind := o.partition.Next() - o.snapshotOffset
	old := time.Since(o.snapshotTime) >= o.cfg.Retention/snapshotRetentionDivisor
	requests := o.snapshotRequests
	o.snapshotRequests = nil
	o.mu.Unlock()
	if behind < o.cfg.SnapshotEvery && !old && len(requests) == 0 {
		return nil
	}
	err := o.carry(ctx)
	if err == nil {
		err = o.snapshot(ctx)
	}
	for _, done := range requests {
		done <- err
	}
	return err
}

// Snapshot requests a snapshot and waits until it is read back or ctx ends.
func (o *Owner) Snapshot(ctx context.Context) error {
	done := make(chan error, 1)
	o.mu.Lock()
	o.snapshotRequests = append(o.snapshotRequests, done)
	o.mu.Unlock()
	o.wake()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// snapshot appends the state in parts that fit the record limit.
func (o *Owner) snapshot(ctx context.Context) error {
	o.mu.Lock()
	parts := o.partition.Snapshot(o.cfg.RecordLimit - 2*envelopeReserve)
	o.snapshotOffset = o.partition.Next()
	o.snapshotTime = time.Now()
	o.mu.Unlock()
	for _, part := range parts {
		entry := &wire.Entry{Kind: &wire.Entry_Snapshot{Snapshot: part}}
		if _, err := o.stream.Write(ctx, o.epoch, []*wire.Entry{entry}); err != nil {
			return err
		}
	}
	return nil
}

// carry appends again the needed records that are older than half of the
// retention, oldest first. Otherwise the platform would trim the payload of an
// accepted item or a result that callers may still read, and reads would fail
// with TrimmedError.
func (o *Owner) carry(ctx context.Context) error {
	o.mu.Lock()
	need := o.partition.CarryBelow(o.partition.Next())
	o.mu.Unlock()
	horizon := time.Now().Add(-o.cfg.Retention / carryRetentionDivisor)
	slices.SortFunc(need.Chunks, func(a, b batch.CarryChunk) int { return cmp.Compare(a.Offset, b.Offset) })
	slices.SortFunc(need.Spans, func(a, b batch.CarrySpan) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, c := range need.Chunks {
		old, err := o.carryChunk(ctx, c, horizon)
		if err != nil {
			return err
		}
		if !old {
			break
		}
	}
	for _, s := range need.Spans {
		old, err := o.carrySpan(ctx, s, horizon)
		if err != nil || !old {
			return err
		}
	}
	return nil
}

// readIfOlder returns the data of the record at offset, and whether the record
// is older than horizon. A record that the log has trimmed counts as old and has
// no data. While the log does not answer, it reports false.
func (o *Owner) readIfOlder(ctx context.Context, offset uint64, horizon time.Time) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	page, err := o.cfg.Log.Read(ctx, StreamName(o.number), offset, 1, 0)
	if errors.Is(err, infra.ErrUnavailable) {
		return nil, false, nil
	}
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		// The record cannot be recovered. Failing here would stop the partition
		// on every attempt before it writes a snapshot, and in the end the log
		// would trim all of its records.
		o.cfg.Metrics.Count("record_lost")
		o.log.Error("needed record was trimmed", logging.F("partition", o.number), logging.F("offset", offset))
		return nil, true, nil
	}
	if err != nil || len(page.Records) == 0 {
		return nil, false, err
	}
	rec := page.Records[0]
	return rec.Data, rec.Time.Before(horizon), nil
}

// carryChunk appends a chunk again if its record is older than horizon. It
// reports whether the record was.
func (o *Owner) carryChunk(ctx context.Context, c batch.CarryChunk, horizon time.Time) (bool, error) {
	data, old, err := o.readIfOlder(ctx, c.Offset, horizon)
	if err != nil || !old {
		return false, err
	}
	chunk := batch.DecodeChunk(data, c.File, c.Number)
	if chunk == nil {
		return true, nil
	}
	entry := &wire.Entry{Kind: &wire.Entry_CarryChunk{CarryChunk: &wire.CarryChunk{Chunk: chunk}}}
	_, err = o.stream.Write(ctx, o.epoch, []*wire.Entry{entry})
	return true, err
}

// carrySpan appends the results of a record again if the record is older than
// horizon. It reports whether the record was.
func (o *Owner) carrySpan(ctx context.Context, s batch.CarrySpan, horizon time.Time) (bool, error) {
	data, old, err := o.readIfOlder(ctx, s.Offset, horizon)
	if err != nil || !old {
		return false, err
	}
	if data == nil {
		return true, nil
	}
	carry := &wire.CarryResults{
		Job:       append([]byte(nil), s.Job[:]...),
		OldOffset: s.Offset,
		Outcomes:  batch.DecodeOutcomes(data, s.Job),
	}
	entry := &wire.Entry{Kind: &wire.Entry_CarryResults{CarryResults: carry}}
	if proto.Size(entry) > o.cfg.RecordLimit-envelopeReserve {
		return true, infra.ErrTooLarge
	}
	_, err = o.stream.Write(ctx, o.epoch, []*wire.Entry{entry})
	return true, err
}
