package losses

import (
	"fmt"
	"strings"
	"time"

	"pumiceford/explain"
)

// run is one run of an item.
type run struct {
	source string
	ended  time.Time
	took   time.Duration
	why    string
}

// item is what the lines tell of one item.
type item struct {
	runs   []run
	listed time.Time
	late   time.Duration
	dead   bool
}

// job is what the lines tell of one job.
type job struct {
	accepted time.Time
	took     time.Duration
	refused  int
	last     time.Time // refusal
	items    map[int64]*item
}

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

func (b *batch) take(l explain.Line) {
	id := text(l, "job")
	if id == "" {
		return
	}
	switch l.Message {
	case "jobs: job accepted":
		if j := b.get(id); j.accepted.IsZero() {
			j.accepted, j.took = l.Time, millis(l, "took_ms")
		}
	case "jobs: job not accepted":
		j := b.get(id)
		j.refused++
		j.last = l.Time
	case "batch: item run ended":
		it := b.get(id).item(number(l, "index"))
		it.runs = append(it.runs, run{source: l.Source, ended: l.Time, took: millis(l, "took_ms"), why: text(l, "why")})
	case "batch: result listed":
		it := b.get(id).item(number(l, "index"))
		if it.listed.IsZero() {
			it.listed, it.late = l.Time, millis(l, "late_ms")
			it.dead, _ = l.Fields["dead"].(bool)
		}
	}
}

func (b *batch) report(r *Report) {
	r.Jobs = len(b.order)
	for _, id := range b.order {
		j := b.jobs[id]
		switch {
		case j.accepted.IsZero() && j.refused > 0:
			r.add(JobRefused, id, j.last, 0)
		case j.refused > 0 || j.took > jobAim:
			r.add(JobLate, id, j.accepted, j.took)
		}
		for index, it := range j.items {
			if it.listed.IsZero() {
				continue
			}
			r.Items++
			if c := it.cause(j.accepted); c != "" {
				r.add(c, fmt.Sprintf("%s/%d", id, index), it.listed, max(it.late, 0))
			}
		}
	}
}

// cause returns what took the largest part of a late item's time, "" when nothing
// was lost.
func (it *item) cause(accepted time.Time) Cause {
	if it.dead {
		return ItemGivenUp
	}
	if it.late <= 0 {
		return ""
	}
	if len(it.runs) == 0 {
		return NotListed
	}
	parts := it.parts(accepted)
	best, most := SlowRun, time.Duration(0)
	for _, c := range partOrder {
		if parts[c] > most {
			best, most = c, parts[c]
		}
	}
	return best
}

// partOrder fixes which of two equal parts counts.
var partOrder = []Cause{NotListed, RunnerGone, RunBroken, CutOff, WaitedForSeat, SlowRun}

// parts splits an item's time by what it was spent on.
func (it *item) parts(accepted time.Time) map[Cause]time.Duration {
	out := make(map[Cause]time.Duration)
	from, why, source := accepted, WaitedForSeat, ""
	for _, r := range it.runs {
		began := r.ended.Add(-r.took)
		if wait := began.Sub(from); !from.IsZero() && wait > 0 {
			if source != "" && source != r.source {
				why = RunnerGone
			}
			out[why] += wait
		}
		out[SlowRun] += r.took
		from, source, why = r.ended, r.source, afterRun(r.why)
	}
	out[NotListed] += it.listed.Sub(from)
	return out
}

// afterRun tells what an item waits for after a run.
func afterRun(why string) Cause {
	switch {
	case why == "seat asked back":
		return CutOff
	case strings.Contains(why, "handed over"):
		return RunnerGone
	}
	return RunBroken
}
