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

// recover builds the state from the newest snapshot and the records behind it.
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
		_ = wait.For(ctx, retryPause)
	}
}

const retryPause = 100 * time.Millisecond

func (o *Owner) tryRecover(ctx context.Context) error {
	part, err := LoadPartition(ctx, o.cfg.Log, o.number, o.cfg.SnapshotEvery)
	if err != nil {
		return err
	}
	o.mu.Lock()
	o.part = part
	o.mu.Unlock()
	o.stream = oplog.NewStream(o.cfg.Log, StreamName(o.number), o.inc, part.Next(), o.apply)
	return o.stream.Catchup(ctx)
}

// LoadPartition finds the newest snapshot of a partition and returns its state.
// The caller applies the records from Next on.
func LoadPartition(ctx context.Context, log infra.Log, number uint32, snapshotEvery uint64) (*batch.Partition, error) {
	name := StreamName(number)
	page, err := log.Read(ctx, name, 0, 1, 0)
	var trimmed *infra.TrimmedError
	if errors.As(err, &trimmed) {
		page = infra.Page{Earliest: trimmed.Earliest, Tail: trimmed.Tail}
	} else if err != nil {
		return nil, err
	}
	// A snapshot lies at most snapshotEvery records and its own parts behind the
	// tail. Look there first and at everything that is kept only after that.
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

// MissingSnapshotError says that the log trimmed records of a partition and no
// snapshot covers them. An operator must look at it; nothing is made up.
type MissingSnapshotError struct {
	Partition uint32
	Earliest  uint64
}

// Error implements error.
func (e *MissingSnapshotError) Error() string {
	return "partition " + strconv.Itoa(int(e.Partition)) + " is trimmed and has no snapshot"
}

const recoverReadBytes = 4 << 20

func findSnapshot(ctx context.Context, log infra.Log, number uint32, from, tail uint64) (*batch.Partition, error) {
	finder := batch.NewFinder()
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

// turnPatience bounds the wait for a present owner to hand over.
const turnPatience = 2 * handOver

// awaitTurn waits until the partition may be taken from its present owner.
func (o *Owner) awaitTurn(ctx context.Context) error {
	until := time.Now().Add(turnPatience)
	for {
		o.mu.Lock()
		holder := o.part.Owner()
		drop := o.draining
		o.mu.Unlock()
		if o.mayTake == nil || o.mayTake(holder) {
			return nil
		}
		if drop || ctx.Err() != nil || time.Now().After(until) {
			return errNotWanted
		}
		_ = wait.For(ctx, retryPause)
		// While the log is away there is nothing new to learn from it.
		_ = o.stream.Catchup(ctx)
	}
}

// takeOver appends the claim and sees whether it won.
func (o *Owner) takeOver(ctx context.Context) error {
	o.mu.Lock()
	epoch := o.part.Epoch() + 1
	before := o.part.Owner()
	o.mu.Unlock()
	claim := &wire.Entry{Kind: &wire.Entry_Takeover{Takeover: &wire.Takeover{
		Owner:       o.cfg.Node,
		Incarnation: o.inc[:],
	}}}
	if _, err := o.stream.Write(ctx, epoch, []*wire.Entry{claim}); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.part.OwnedBy(o.inc) || o.part.Epoch() != epoch {
		return errSuperseded
	}
	o.epoch = epoch
	o.tookOver = time.Now()
	o.followed = o.tookOver
	if before != "" {
		o.answersFrom = o.tookOver.Add(freshFor)
	}
	o.snapAt = o.part.Next()
	// The first turn writes a snapshot and repeats old records. Nobody did so
	// since the last owner was lost, and records near their end cannot wait for
	// another interval.
	o.snapTime = time.Time{}
	o.disp = batch.NewDispatcher(o.cfg.Limits)
	o.part.Jobs(func(j *batch.Job) bool {
		if j.State() == batch.JobRunning {
			o.disp.Add(j)
		}
		return true
	})
	return nil
}
