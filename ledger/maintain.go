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

// snapshotShare is the part of the retention after which a snapshot is written
// again even when little has happened.
const snapshotShare = 4

// carryShare is the part of the retention after which needed records are
// repeated.
const carryShare = 2

// maintain writes snapshots and repeats old records that are still needed.
// While the log does not answer it does nothing; flush would be stuck as well.
func (o *Owner) maintain(ctx context.Context) error {
	o.mu.Lock()
	behind := o.part.Next() - o.snapAt
	old := time.Since(o.snapTime) >= o.cfg.Retention/snapshotShare
	asked := o.snapAsked
	o.snapAsked = nil
	o.mu.Unlock()
	if behind < o.cfg.SnapshotEvery && !old && len(asked) == 0 {
		return nil
	}
	err := o.carry(ctx)
	if err == nil {
		err = o.snapshot(ctx)
	}
	for _, done := range asked {
		done <- err
	}
	return err
}

// Snapshot writes a snapshot now and returns when it was read back.
func (o *Owner) Snapshot(ctx context.Context) error {
	done := make(chan error, 1)
	o.mu.Lock()
	o.snapAsked = append(o.snapAsked, done)
	o.mu.Unlock()
	o.wake()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// snapshot appends the state in parts that fit the log's limit.
func (o *Owner) snapshot(ctx context.Context) error {
	o.mu.Lock()
	parts := o.part.Snapshot(o.cfg.RecordLimit - 2*envelopeSlack)
	o.snapAt = o.part.Next()
	o.snapTime = time.Now()
	o.mu.Unlock()
	for _, part := range parts {
		entry := &wire.Entry{Kind: &wire.Entry_Snapshot{Snapshot: part}}
		if _, err := o.stream.Write(ctx, o.epoch, []*wire.Entry{entry}); err != nil {
			return err
		}
	}
	return nil
}

// carry repeats needed records that are older than half of the retention, oldest
// first. Without it an accepted item's payload or a readable result would be
// trimmed by the platform; one would notice TrimmedError on a read.
func (o *Owner) carry(ctx context.Context) error {
	o.mu.Lock()
	need := o.part.CarryBelow(o.part.Next())
	o.mu.Unlock()
	horizon := time.Now().Add(-o.cfg.Retention / carryShare)
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

// oldRecord returns a record's data when it is older than horizon.
func (o *Owner) oldRecord(ctx context.Context, offset uint64, horizon time.Time) ([]byte, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	page, err := o.cfg.Log.Read(ctx, StreamName(o.number), offset, 1, 0)
	if errors.Is(err, infra.ErrUnavailable) {
		return nil, false, nil
	}
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		// Nothing brings it back. Stopping the partition for it, again and again,
		// would take everything else with it: the snapshot after this would never
		// be written and all records would be trimmed in the end.
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

func (o *Owner) carryChunk(ctx context.Context, c batch.CarryChunk, horizon time.Time) (bool, error) {
	data, old, err := o.oldRecord(ctx, c.Offset, horizon)
	if err != nil || !old {
		return false, err
	}
	chunk := batch.ChunkIn(data, c.File, c.Number)
	if chunk == nil {
		return true, nil
	}
	entry := &wire.Entry{Kind: &wire.Entry_CarryChunk{CarryChunk: &wire.CarryChunk{Chunk: chunk}}}
	_, err = o.stream.Write(ctx, o.epoch, []*wire.Entry{entry})
	return true, err
}

func (o *Owner) carrySpan(ctx context.Context, s batch.CarrySpan, horizon time.Time) (bool, error) {
	data, old, err := o.oldRecord(ctx, s.Offset, horizon)
	if err != nil || !old {
		return false, err
	}
	if data == nil {
		return true, nil
	}
	carry := &wire.CarryResults{
		Job:       append([]byte(nil), s.Job[:]...),
		OldOffset: s.Offset,
		Outcomes:  batch.OutcomesIn(data, s.Job),
	}
	entry := &wire.Entry{Kind: &wire.Entry_CarryResults{CarryResults: carry}}
	if proto.Size(entry) > o.cfg.RecordLimit-envelopeSlack {
		return true, infra.ErrTooLarge
	}
	_, err = o.stream.Write(ctx, o.epoch, []*wire.Entry{entry})
	return true, err
}
