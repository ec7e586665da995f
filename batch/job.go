package batch

import (
	"context"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/qmuntal/stateless"

	"pumiceford/wire"
)

// JobID is a digest of the workspace and the caller's idempotency key.
type JobID [16]byte

// JobState is the state of a job in its life cycle.
type JobState string

// The states of a job. JobCompleted and JobCancelled are terminal.
const (
	JobRunning   JobState = "in_progress"
	JobCompleted JobState = "completed"
	JobCancelled JobState = "cancelled"
)

type jobTrigger string

const (
	triggerAllDone jobTrigger = "all_items_terminal"
	triggerCancel  jobTrigger = "cancel"
)

// resultSpan locates a record that holds results of a job, with the lowest and
// highest index of the items.
type resultSpan struct {
	offset   uint64
	min, max uint32
}

// Job is the durable state of one batch job: one bit per item and outcome, and
// the offsets of its results. Only records of the log change it.
type Job struct {
	ID        JobID
	Commit    *wire.CommitJob
	Total     uint32
	succeeded *roaring.Bitmap
	failed    *roaring.Bitmap
	started   *roaring.Bitmap // non-idempotent items whose start is recorded
	state     JobState
	endedAt   time.Time // log time of the terminal record
	spans     []resultSpan
	fsm       *stateless.StateMachine
}

func newJob(id JobID, commit *wire.CommitJob, total uint32) *Job {
	j := &Job{
		ID:        id,
		Commit:    commit,
		Total:     total,
		succeeded: roaring.New(),
		failed:    roaring.New(),
		started:   roaring.New(),
		state:     JobRunning,
	}
	return j
}

// stateMachine returns the state machine over j.state and builds it at the first
// call. Most jobs never need it, because most records of a replay are item
// records.
func (j *Job) stateMachine() *stateless.StateMachine {
	if j.fsm != nil {
		return j.fsm
	}
	get := func(context.Context) (stateless.State, error) { return j.state, nil }
	set := func(_ context.Context, s stateless.State) error {
		j.state = s.(JobState)
		return nil
	}
	m := stateless.NewStateMachineWithExternalStorage(get, set, stateless.FiringImmediate)
	m.Configure(JobRunning).
		Permit(triggerAllDone, JobCompleted).
		Permit(triggerCancel, JobCancelled)
	m.Configure(JobCompleted).Ignore(triggerCancel).Ignore(triggerAllDone)
	m.Configure(JobCancelled).Ignore(triggerCancel).Ignore(triggerAllDone)
	j.fsm = m
	return m
}

// fire applies a trigger and records the log time of a state change.
func (j *Job) fire(t jobTrigger, at time.Time) {
	before := j.state
	// Every state permits or ignores every trigger, so Fire cannot fail.
	_ = j.stateMachine().Fire(t)
	if j.state != before {
		j.endedAt = at
	}
}

// State returns the job's state.
func (j *Job) State() JobState {
	return j.state
}

// Terminal reports whether an item will not run any more, because it has its
// outcome or the job is cancelled.
func (j *Job) Terminal(index uint32) bool {
	return j.state == JobCancelled || j.succeeded.Contains(index) || j.failed.Contains(index)
}

// Pending returns a new bitmap of the items without an outcome. It is empty when
// the job has ended.
func (j *Job) Pending() *roaring.Bitmap {
	out := roaring.New()
	if j.state != JobRunning {
		return out
	}
	out.AddRange(0, uint64(j.Total))
	out.AndNot(j.succeeded)
	out.AndNot(j.failed)
	return out
}

// Started returns the pending non-idempotent items whose start is recorded.
func (j *Job) Started() *roaring.Bitmap {
	return roaring.And(j.started, j.Pending())
}

// applyOutcome records the outcome of an item. The first outcome wins: it reports
// false for an item that already has one, and for an item that does not exist.
func (j *Job) applyOutcome(o *wire.Outcome) bool {
	if o.GetIndex() >= j.Total || j.Terminal(o.GetIndex()) {
		return false
	}
	if o.GetOk() {
		j.succeeded.Add(o.GetIndex())
	} else {
		j.failed.Add(o.GetIndex())
	}
	return true
}

func (j *Job) doneCount() uint64 {
	return j.succeeded.GetCardinality() + j.failed.GetCardinality()
}

// Remaining returns how many items have no outcome yet.
func (j *Job) Remaining() uint32 {
	return j.Total - uint32(j.doneCount())
}

// Info returns the state that callers can read.
func (j *Job) Info(partition uint32) *wire.JobInfo {
	info := &wire.JobInfo{
		Job:           j.Commit.GetJob(),
		Workspace:     j.Commit.GetWorkspace(),
		File:          j.Commit.GetFile(),
		Model:         j.Commit.GetModel(),
		State:         string(j.state),
		Total:         j.Total,
		Succeeded:     uint32(j.succeeded.GetCardinality()),
		Failed:        uint32(j.failed.GetCardinality()),
		DueUnixMs:     j.Commit.GetDueUnixMs(),
		CreatedUnixMs: j.Commit.GetCreatedUnixMs(),
		Partition:     partition,
		Endpoint:      j.Commit.GetEndpoint(),
		Metadata:      j.Commit.GetMetadata(),
	}
	if j.state == JobCancelled {
		info.Cancelled = j.Total - info.Succeeded - info.Failed
	}
	if !j.endedAt.IsZero() {
		info.EndedUnixMs = j.endedAt.UnixMilli()
	}
	return info
}

// expired reports whether the job has ended and its retention has passed.
func (j *Job) expired(now time.Time) bool {
	if j.state == JobRunning {
		return false
	}
	keep := time.Duration(j.Commit.GetKeepMs()) * time.Millisecond
	return now.After(j.endedAt.Add(keep))
}

// ResultOffsets returns the offsets of records that hold results of items in
// [from, to), oldest first.
func (j *Job) ResultOffsets(from, to uint32) []uint64 {
	var out []uint64
	for _, s := range j.spans {
		if s.max >= from && s.min < to {
			out = append(out, s.offset)
		}
	}
	return out
}

// ItemState returns the state of an item: "succeeded", "failed", "cancelled" or
// "pending".
func (j *Job) ItemState(index uint32) string {
	switch {
	case j.succeeded.Contains(index):
		return "succeeded"
	case j.failed.Contains(index):
		return "failed"
	case j.state == JobCancelled:
		return "cancelled"
	}
	return "pending"
}
