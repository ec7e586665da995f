package ledger

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/batch"
	"pumiceford/infra"
	"pumiceford/internal/wait"
	"pumiceford/oplog"
	"pumiceford/wire"
)

// recover builds the state from the newest snapshot and the records after it. It
// retries while the log does not answer, or when the log trims records during the
// read.
func (o *Owner) recover(ctx context.Context) error {
	for {
		err := o.tryRecover(ctx)
		if err == nil {
			return nil
		}
		var trimmed *infra.TrimmedError
		if !errors.Is(err, infra.ErrUnavailable) && !errors.As(err, &trimmed) && ctx.Err() == nil {
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = wait.For(ctx, recoverRetryInterval)
	}
}

const recoverRetryInterval = 100 * time.Millisecond

func (o *Owner) tryRecover(ctx context.Context) error {
	part, err := LoadPartition(ctx, o.cfg.Log, o.number, o.cfg.SnapshotEvery)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.partition = part
	o.mu.Unlock()
	o.stream = oplog.NewStream(o.cfg.Log, StreamName(o.number), o.inc, part.Next(), o.apply)
	return o.stream.ReadToTail(ctx)
}

// LoadPartition returns the state of a partition from its newest snapshot, or an
// empty one if the log has all records of the partition. The caller applies the
// records from Next on. It fails with MissingSnapshotError when records were
// trimmed and no snapshot replaces them.
func LoadPartition(ctx context.Context, log infra.Log, number uint32, snapshotEvery uint64) (*batch.Partition, error) {
	name := StreamName(number)
	page, err := log.Read(ctx, name, 0, 1, 0)
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		page = infra.Page{Earliest: trimmed.Earliest, Tail: trimmed.Tail}
	} else if err != nil {
		return nil, err
	}
	// The newest snapshot is normally at most snapshotEvery records and its own
	// parts behind the tail. Search there first, and all kept records only if
	// none is found.
	window := 2*snapshotEvery + 1
	from := page.Earliest
	if page.Tail > window {
		from = max(from, page.Tail-window)
	}
	part, err := findSnapshot(ctx, log, number, from, page.Tail)
	if err == nil && part == nil && from > page.Earliest {
		part, err = findSnapshot(ctx, log, number, page.Earliest, page.Tail)
	}
	if err != nil {
		return nil, err
	}
	if part != nil {
		return part, nil
	}
	if page.Earliest > 0 {
		return nil, &MissingSnapshotError{Partition: number, Earliest: page.Earliest}
	}
	return batch.NewPartition(number), nil
}

// MissingSnapshotError reports that the log trimmed records of a partition that
// no snapshot covers. The partition cannot be recovered without an operator.
type MissingSnapshotError struct {
	Partition uint32
	Earliest  uint64
}

// Error implements error.
func (e *MissingSnapshotError) Error() string {
	return "partition " + strconv.Itoa(int(e.Partition)) + ": records were trimmed and no snapshot covers them"
}

const recoverReadBytes = 4 << 20

// findSnapshot restores the partition from the newest snapshot in [from, tail).
// It returns nil when there is none.
func findSnapshot(ctx context.Context, log infra.Log, number uint32, from, tail uint64) (*batch.Partition, error) {
	finder := batch.NewSnapshotFinder()
	for from < tail {
		page, err := log.Read(ctx, StreamName(number), from, recoverReadBytes, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, rec := range page.Records {
			finder.Add(rec)
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
	data, _, ok := finder.Snapshot()
	if !ok {
		return nil, nil
	}
	return batch.Restore(number, data)
}

// awaitHandoverTimeout bounds the wait for the current owner to release the
// partition.
const awaitHandoverTimeout = 2 * handoverTimeout

// awaitHandover waits until the partition may be taken over from its current
// owner. It returns errNotProposed when that does not happen.
func (o *Owner) awaitHandover(ctx context.Context) error {
	until := time.Now().Add(awaitHandoverTimeout)
	for {
		o.mu.Lock()
		holder := o.partition.Owner()
		draining := o.draining
		o.mu.Unlock()
		if o.mayTakeOver == nil || o.mayTakeOver(holder) {
			return nil
		}
		if draining || ctx.Err() != nil || time.Now().After(until) {
			return errNotProposed
		}
		_ = wait.For(ctx, recoverRetryInterval)
		// Errors are ignored: while the log does not answer, the last known
		// holder stands, and the next round reads again.
		_ = o.stream.ReadToTail(ctx)
	}
}

// takeOver appends a takeover record and checks that no other owner has taken the
// partition over first. It then rebuilds the dispatcher.
func (o *Owner) takeOver(ctx context.Context) error {
	o.mu.Lock()
	epoch := o.partition.Epoch() + 1
	previous := o.partition.Owner()
	o.mu.Unlock()
	takeover := &wire.Entry{Kind: &wire.Entry_Takeover{Takeover: &wire.Takeover{
		Owner:       o.cfg.Node,
		Incarnation: o.inc[:],
	}}}
	if _, err := o.stream.Write(ctx, epoch, []*wire.Entry{takeover}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.partition.OwnedBy(o.inc) || o.partition.Epoch() != epoch {
		return errSuperseded
	}
	o.epoch = epoch
	o.takenOverAt = time.Now()
	o.caughtUpAt = o.takenOverAt
	if previous != "" {
		o.readsAllowedAt = o.takenOverAt.Add(readLeaseDuration)
	}
	o.snapshotOffset = o.partition.Next()
	// Makes the first round of the writer write a snapshot and carry forward old
	// records. These are overdue since the previous owner stopped, and records near
	// the end of the retention cannot wait for another interval.
	o.snapshotTime = time.Time{}
	o.dispatcher = batch.NewDispatcher(o.cfg.Limits)
	o.partition.Jobs(func(j *batch.Job) bool {
		if j.State() == batch.JobRunning {
			o.dispatcher.Add(j)
		}
		return true
	})
	return nil
}
