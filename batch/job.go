package batch

import (
	"context"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
	"github.com/qmuntal/stateless"

	"pumiceford/wire"
)

// JobID is the digest of the workspace and the caller's idempotency key.
type JobID [16]byte

// JobState is a state of a job's life cycle.
type JobState string

// The states. Completed and Cancelled are terminal.
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

// span locates a record that holds results of a job.
type span struct {
	offset   uint64
	min, max uint32
}

// Job is the durable state of one batch job: one bit an item and outcome, plus
// the places of its results. It changes only through records of the log.
type Job struct {
	ID        JobID
	Commit    *wire.CommitJob
	Total     uint32
	succeeded *roaring.Bitmap
	failed    *roaring.Bitmap
	started   *roaring.Bitmap // non-idempotent items whose start was recorded
	state     JobState
	ended     time.Time // log time of the terminal record
	spans     []span
	life      *stateless.StateMachine
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

// machine builds the life cycle over j.state when first needed. Most jobs of a
// replay see only item records, so most never need it.
func (j *Job) machine() *stateless.StateMachine {
	if j.life != nil {
		return j.life
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
	j.life = m
	return m
}

func (j *Job) fire(t jobTrigger, at time.Time) {
	before := j.state
	// Every state permits or ignores every trigger, so Fire cannot fail.
	_ = j.machine().Fire(t)
	if j.state != before {
		j.ended = at
	}
}

// State returns the job's state.
func (j *Job) State() JobState {
	return j.state
}

// Terminal reports whether an item has its final outcome.
func (j *Job) Terminal(index uint32) bool {
	return j.state == JobCancelled || j.succeeded.Contains(index) || j.failed.Contains(index)
}

// Pending returns the items without an outcome, as a new bitmap.
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

// Started returns the pending items whose non-idempotent start was recorded.
func (j *Job) Started() *roaring.Bitmap {
	return roaring.And(j.started, j.Pending())
}

// apply records one outcome. The first one of an item wins; it reports false
// for an item that had one or does not exist.
func (j *Job) apply(o *wire.Outcome) bool {
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

func (j *Job) done() uint64 {
	return j.succeeded.GetCardinality() + j.failed.GetCardinality()
}

// Remaining returns how many items have no outcome yet.
func (j *Job) Remaining() uint32 {
	return j.Total - uint32(j.done())
}

// Info returns the readable state.
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
	if !j.ended.IsZero() {
		info.EndedUnixMs = j.ended.UnixMilli()
	}
	return info
}

// expired reports whether the results need not be readable any more.
func (j *Job) expired(now time.Time) bool {
	if j.state == JobRunning {
		return false
	}
	keep := time.Duration(j.Commit.GetKeepMs()) * time.Millisecond
	return now.After(j.ended.Add(keep))
}

// SpansFor returns the offsets of records that hold results of items in
// [from, to), oldest first.
func (j *Job) SpansFor(from, to uint32) []uint64 {
	var out []uint64
	for _, s := range j.spans {
		if s.max >= from && s.min < to {
			out = append(out, s.offset)
		}
	}
	return out
}

// ItemState returns succeeded, failed, cancelled or pending.
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
