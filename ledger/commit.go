package ledger

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/infra"
	"pumiceford/wire"
)

// write is a group of entries that someone waits for.
type write struct {
	entries []*wire.Entry
	size    int
	done    chan error
}

// ackRef tells an agent that a result is durable.
type ackRef struct {
	agent string
	ref   *wire.ItemRef
}

// flush appends what is due as one record.
func (o *Owner) flush(ctx context.Context) error {
	for {
		group := o.gather(time.Now())
		if len(group.entries) == 0 {
			return nil
		}
		o.nameOutcomes(ctx, group)
		_, err := o.stream.Write(ctx, o.epoch, group.entries)
		if err := o.settle(group, err); err != nil {
			return err
		}
	}
}

// group is what one append carries.
type group struct {
	entries []*wire.Entry
	writes  []*write
	acks    []ackRef
	keys    []batch.ItemKey
	bytes   int // of results
}

// envelopeSlack leaves room for the envelope around the entries.
const envelopeSlack = 4 << 10

func (o *Owner) gather(now time.Time) group {
	o.mu.Lock()
	defer o.mu.Unlock()
	var g group
	room := o.cfg.RecordLimit - envelopeSlack
	for len(o.waiting) > 0 && (o.waiting[0].size <= room || len(g.writes) == 0) {
		w := o.waiting[0]
		o.waiting = o.waiting[1:]
		room -= w.size
		g.entries = append(g.entries, w.entries...)
		g.writes = append(g.writes, w)
	}
	age := now.Sub(o.resultsAt)
	due := o.buffered >= o.cfg.ResultsBytes || age >= o.cfg.ResultsEvery || o.draining ||
		(age >= o.cfg.FinishEvery && o.finishesJob())
	// Results ride along with any record that goes out anyway.
	if len(o.results) > 0 && (due || len(g.writes) > 0) {
		o.gatherResults(&g, room, now)
	}
	return g
}

// finishesJob reports whether the buffered outcomes are all that some job lacks.
func (o *Owner) finishesJob() bool {
	for id, outcomes := range o.results {
		if j := o.part.Job(id); j != nil && uint32(len(outcomes)) >= j.Remaining() {
			return true
		}
	}
	return false
}

func (o *Owner) gatherResults(g *group, room int, now time.Time) {
	for job, outcomes := range o.results {
		n, size := fitting(outcomes, room)
		if n == 0 {
			break
		}
		room -= size
		g.bytes += size
		g.entries = append(g.entries, &wire.Entry{Kind: &wire.Entry_Results{Results: &wire.Results{
			Job:        append([]byte(nil), job[:]...),
			Outcomes:   outcomes[:n],
			TimeUnixMs: now.UnixMilli(),
		}}})
		for _, oc := range outcomes[:n] {
			g.keys = append(g.keys, batch.ItemKey{Job: job, Index: oc.GetIndex()})
		}
		refs := o.resultRefs[job]
		g.acks = append(g.acks, refs[:n]...)
		if n == len(outcomes) {
			delete(o.results, job)
			delete(o.resultRefs, job)
			continue
		}
		o.results[job] = outcomes[n:]
		o.resultRefs[job] = refs[n:]
	}
	o.resultsAt = now
}

// nameOutcomes adds the caller's id to outcomes that no agent reported, such as
// those of lost targets. One that cannot be read now stays without; readers look
// into the input file while it is there.
func (o *Owner) nameOutcomes(ctx context.Context, g group) {
	for _, e := range g.entries {
		r := e.GetResults()
		for _, oc := range r.GetOutcomes() {
			if oc.GetCustomId() != "" {
				continue
			}
			if id, ok := jobID(r.GetJob()); ok {
				oc.CustomId = o.customID(ctx, o.job(id), oc.GetIndex())
			}
		}
	}
}

// customID reads an item's id from the input file, empty when it is not there.
func (o *Owner) customID(ctx context.Context, j *batch.Job, index uint32) string {
	if j == nil {
		return ""
	}
	line, err := o.line(ctx, j, index)
	if err != nil {
		return ""
	}
	item, err := batch.ParseItem(line)
	if err != nil {
		return ""
	}
	return item.CustomID
}

// fitting returns how many outcomes fit into room, and their size.
func fitting(outcomes []*wire.Outcome, room int) (n, size int) {
	for _, oc := range outcomes {
		s := outcomeSize(oc)
		if size+s > room {
			break
		}
		size += s
		n++
	}
	return n, size
}

// outcomeOverhead is the encoding around one outcome.
const outcomeOverhead = 8

// outcomeSize bounds the encoded size, with room for a custom_id that is added
// just before the append.
func outcomeSize(oc *wire.Outcome) int {
	size := proto.Size(oc) + outcomeOverhead
	if oc.GetCustomId() == "" {
		size += batch.MaxCustomIDBytes + outcomeOverhead
	}
	return size
}

// settle tells everyone who waited for a group.
func (o *Owner) settle(g group, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil && !o.owned() {
		err = errSuperseded
	}
	if err != nil {
		for _, w := range g.writes {
			w.done <- settleFailure(err)
		}
		if errors.Is(err, infra.ErrTooLarge) && len(g.keys) == 0 {
			return nil
		}
		// Outcomes must not be dropped: agents hold them until they are durable,
		// and the next run of the partition gets them again.
		return err
	}
	o.buffered -= g.bytes
	for _, key := range g.keys {
		delete(o.unsettled, key)
	}
	for _, w := range g.writes {
		w.done <- nil
	}
	for _, a := range g.acks {
		if f := o.feeds[a.agent]; f != nil {
			f.durable(a.ref)
		}
	}
	return nil
}

func settleFailure(err error) error {
	if errors.Is(err, infra.ErrTooLarge) {
		return apierr.New(apierr.CodeTooLarge, "record over the log's limit")
	}
	return apierr.Unknown(apierr.CodeNotOwner, "partition changed hands").After(time.Second)
}

// commit queues entries and waits until they were read back, or ctx ends.
func (o *Owner) commit(ctx context.Context, entries ...*wire.Entry) error {
	w := &write{entries: entries, done: make(chan error, 1)}
	for _, e := range entries {
		w.size += proto.Size(e) + outcomeOverhead
	}
	if w.size > o.cfg.RecordLimit-envelopeSlack {
		return apierr.New(apierr.CodeTooLarge, "record of %d bytes is over the log's limit", w.size)
	}
	o.mu.Lock()
	if o.closed || o.draining || !o.owned() {
		o.mu.Unlock()
		return notOwner()
	}
	if o.stream.Failing() {
		o.mu.Unlock()
		return apierr.New(apierr.CodeLogDown, "the platform's log does not answer").After(time.Second)
	}
	o.waiting = append(o.waiting, w)
	o.mu.Unlock()
	o.wake()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return o.withdraw(w)
	}
}

// withdraw gives a write up. One that was not appended yet never will be, so
// that "not run" is true; the outcome of one that is under way is unknown.
func (o *Owner) withdraw(w *write) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, other := range o.waiting {
		if other == w {
			o.waiting = append(o.waiting[:i:i], o.waiting[i+1:]...)
			return apierr.New(apierr.CodeLogDown, "the platform's log does not answer").After(time.Second)
		}
	}
	return apierr.Unknown(apierr.CodeLogDown, "the platform's log does not answer; ask again with the same key").After(time.Second)
}
