package losses

import (
	"fmt"
	"strings"
	"time"

	"pumiceford/explain"
)

// run is one run of an item.
type run struct {
	source   string
	endedAt  time.Time
	duration time.Duration
	reason   string // why it ended
}

// item collects the log lines of one item.
type item struct {
	runs      []run
	listedAt  time.Time
	lateBy    time.Duration // after the item was due; negative if it was early
	abandoned bool
}

// job collects the log lines of one job.
type job struct {
	acceptedAt    time.Time
	acceptTime    time.Duration
	rejections    int
	lastRejection time.Time
	items         map[int64]*item
}

// batch collects the jobs in the logs.
type batch struct {
	jobs  map[string]*job
	order []string
}

func newBatch() *batch {
	return &batch{jobs: make(map[string]*job)}
}

func (b *batch) get(id string) *job {
	j := b.jobs[id]
	if j == nil {
		j = &job{items: make(map[int64]*item)}
		b.jobs[id] = j
		b.order = append(b.order, id)
	}
	return j
}

func (j *job) item(index int64) *item {
	if j.items[index] == nil {
		j.items[index] = &item{}
	}
	return j.items[index]
}

func (b *batch) addLine(l explain.Line) {
	id := stringField(l, "job")
	if id == "" {
		return
	}
	switch l.Message {
	case "jobs: job accepted":
		if j := b.get(id); j.acceptedAt.IsZero() {
			j.acceptedAt, j.acceptTime = l.Time, millisField(l, "took_ms")
		}
	case "jobs: job not accepted":
		j := b.get(id)
		j.rejections++
		j.lastRejection = l.Time
	case "batch: item run ended":
		it := b.get(id).item(intField(l, "index"))
		it.runs = append(it.runs, run{source: l.Source, endedAt: l.Time, duration: millisField(l, "took_ms"), reason: stringField(l, "why")})
	case "batch: result listed":
		it := b.get(id).item(intField(l, "index"))
		if it.listedAt.IsZero() {
			it.listedAt, it.lateBy = l.Time, millisField(l, "late_ms")
			it.abandoned, _ = l.Fields["dead"].(bool)
		}
	}
}

func (b *batch) report(r *Report) {
	r.Jobs = len(b.order)
	for _, id := range b.order {
		j := b.jobs[id]
		switch {
		case j.acceptedAt.IsZero() && j.rejections > 0:
			r.add(JobRefused, id, j.lastRejection, 0)
		case j.rejections > 0 || j.acceptTime > maxAcceptTime:
			r.add(JobAcceptedLate, id, j.acceptedAt, j.acceptTime)
		}
		for index, it := range j.items {
			if it.listedAt.IsZero() {
				continue
			}
			r.Items++
			if c := it.cause(j.acceptedAt); c != "" {
				r.add(c, fmt.Sprintf("%s/%d", id, index), it.listedAt, max(it.lateBy, 0))
			}
		}
	}
}

// cause returns the cause that took the largest part of a late item's time, or "" if the
// item was on time.
func (it *item) cause(accepted time.Time) Cause {
	if it.abandoned {
		return ItemAbandoned
	}
	if it.lateBy <= 0 {
		return ""
	}
	if len(it.runs) == 0 {
		return ResultListedLate
	}
	spent := it.timeByCause(accepted)
	cause, longest := SlowRun, time.Duration(0)
	for _, c := range causePriority {
		if spent[c] > longest {
			cause, longest = c, spent[c]
		}
	}
	return cause
}

// causePriority orders the causes; the earlier one wins if two took equally long.
var causePriority = []Cause{ResultListedLate, RunnerLost, RunFailed, Preempted, WaitedForFirstSeat, SlowRun}

// timeByCause splits the time from an item's acceptance to its listing by cause. Without an
// acceptance line the wait before the first run is left out.
func (it *item) timeByCause(accepted time.Time) map[Cause]time.Duration {
	out := make(map[Cause]time.Duration)
	from, waitingFor, source := accepted, WaitedForFirstSeat, ""
	for _, r := range it.runs {
		started := r.endedAt.Add(-r.duration)
		if wait := started.Sub(from); !from.IsZero() && wait > 0 {
			if source != "" && source != r.source {
				waitingFor = RunnerLost
			}
			out[waitingFor] += wait
		}
		out[SlowRun] += r.duration
		from, source, waitingFor = r.endedAt, r.source, waitCause(r.reason)
	}
	out[ResultListedLate] += it.listedAt.Sub(from)
	return out
}

// waitCause returns the cause of the wait after a run that ended for the given reason.
func waitCause(reason string) Cause {
	switch {
	case reason == "seat asked back":
		return Preempted
	case strings.Contains(reason, "handed over"):
		return RunnerLost
	}
	return RunFailed
}
