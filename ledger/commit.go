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

// pendingWrite is a set of entries whose caller waits until they are durable.
type pendingWrite struct {
	entries []*wire.Entry
	size    int // encoded size in bytes
	done    chan error
}

// resultAck names the agent to notify once a result is durable, and the
// execution that produced the result.
type resultAck struct {
	agent string
	ref   *wire.ItemRef
}

// flush appends all due entries, one record per group, until nothing is due.
func (o *Owner) flush(ctx context.Context) error {
	for {
		group := o.collectGroup(time.Now())
		if len(group.entries) == 0 {
			return nil
		}
		o.fillCustomIDs(ctx, group)
		_, err := o.stream.Write(ctx, o.epoch, group.entries)
		if err := o.completeGroup(group, err); err != nil {
			return err
		}
	}
}

// appendGroup holds the contents of one record.
type appendGroup struct {
	entries []*wire.Entry
	writes  []*pendingWrite
	acks    []resultAck
	keys    []batch.ItemKey
	bytes   int // size of the results
}

// envelopeReserve is the space in bytes that a record reserves for the envelope
// around its entries.
const envelopeReserve = 4 << 10

// collectGroup removes the queued writes that fit into one record, and the
// results that are due, and returns them.
func (o *Owner) collectGroup(now time.Time) appendGroup {
	o.mu.Lock()
	defer o.mu.Unlock()
	var g appendGroup
	room := o.cfg.RecordLimit - envelopeReserve
	for len(o.queuedWrites) > 0 && (o.queuedWrites[0].size <= room || len(g.writes) == 0) {
		w := o.queuedWrites[0]
		o.queuedWrites = o.queuedWrites[1:]
		room -= w.size
		g.entries = append(g.entries, w.entries...)
		g.writes = append(g.writes, w)
	}
	age := now.Sub(o.resultsSince)
	due := o.bufferedBytes >= o.cfg.ResultsBytes || age >= o.cfg.ResultsEvery || o.draining ||
		(age >= o.cfg.FinishDelay && o.completesJob())
	// A record that is written for a caller also takes the buffered results,
	// which saves an append.
	if len(o.results) > 0 && (due || len(g.writes) > 0) {
		o.collectResults(&g, room, now)
	}
	return g
}

// completesJob reports whether the buffered outcomes complete any job.
func (o *Owner) completesJob() bool {
	for id, outcomes := range o.results {
		if j := o.partition.Job(id); j != nil && uint32(len(outcomes)) >= j.Remaining() {
			return true
		}
	}
	return false
}

// collectResults moves buffered outcomes that fit into room bytes to g. Owner.mu
// must be held.
func (o *Owner) collectResults(g *appendGroup, room int, now time.Time) {
	for job, outcomes := range o.results {
		n, size := countFitting(outcomes, room)
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
		refs := o.resultAcks[job]
		g.acks = append(g.acks, refs[:n]...)
		if n == len(outcomes) {
			delete(o.results, job)
			delete(o.resultAcks, job)
			continue
		}
		o.results[job] = outcomes[n:]
		o.resultAcks[job] = refs[n:]
	}
	o.resultsSince = now
}

// fillCustomIDs sets the custom_id of outcomes that no agent reported, such as
// those of lost targets. An id that cannot be read stays empty, and reads of the
// result look it up in the input file while that file exists.
func (o *Owner) fillCustomIDs(ctx context.Context, g appendGroup) {
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

// customID returns an item's custom_id from the input file, or an empty string if
// the item cannot be read.
func (o *Owner) customID(ctx context.Context, j *batch.Job, index uint32) string {
	if j == nil {
		return ""
	}
	line, err := o.itemLine(ctx, j, index)
	if err != nil {
		return ""
	}
	item, err := batch.ParseItem(line)
	if err != nil {
		return ""
	}
	return item.CustomID
}

// countFitting returns how many of the first outcomes fit into room bytes, and
// their total size.
func countFitting(outcomes []*wire.Outcome, room int) (n, size int) {
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

// outcomeOverhead is the encoding overhead of one outcome in bytes.
const outcomeOverhead = 8

// outcomeSize returns an upper bound of the encoded size in bytes. It includes
// the longest custom_id when the outcome has none, because fillCustomIDs adds it
// just before the append.
func outcomeSize(oc *wire.Outcome) int {
	size := proto.Size(oc) + outcomeOverhead
	if oc.GetCustomId() == "" {
		size += batch.MaxCustomIDBytes + outcomeOverhead
	}
	return size
}

// completeGroup reports the result of an append to the callers and agents that
// wait for the group. It returns an error when the owner must stop.
func (o *Owner) completeGroup(g appendGroup, err error) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil && !o.owned() {
		err = errSuperseded
	}
	if err != nil {
		for _, w := range g.writes {
			w.done <- appendFailure(err)
		}
		if errors.Is(err, infra.ErrTooLarge) && len(g.keys) == 0 {
			return nil
		}
		// Outcomes must not be dropped. Stopping the owner is safe: agents keep
		// results until they are durable, and send them again to the next owner.
		return err
	}
	o.bufferedBytes -= g.bytes
	for _, key := range g.keys {
		delete(o.pendingOutcomes, key)
	}
	for _, w := range g.writes {
		w.done <- nil
	}
	for _, a := range g.acks {
		if f := o.feeds[a.agent]; f != nil {
			f.ackDurable(a.ref)
		}
	}
	return nil
}

func appendFailure(err error) error {
	if errors.Is(err, infra.ErrTooLarge) {
		return apierr.New(apierr.CodeTooLarge, "record over the log's limit")
	}
	return apierr.MaybeExecuted(apierr.CodeNotOwner, "partition changed hands").WithRetryAfter(time.Second)
}

// commit queues entries and waits until they are read back from the log or ctx
// ends.
func (o *Owner) commit(ctx context.Context, entries ...*wire.Entry) error {
	w := &pendingWrite{entries: entries, done: make(chan error, 1)}
	for _, e := range entries {
		w.size += proto.Size(e) + outcomeOverhead
	}
	if w.size > o.cfg.RecordLimit-envelopeReserve {
		return apierr.New(apierr.CodeTooLarge, "record of %d bytes is over the log's limit", w.size)
	}
	o.mu.Lock()
	if o.closed || o.draining || !o.owned() {
		o.mu.Unlock()
		return notOwner()
	}
	if o.stream.Unavailable() {
		o.mu.Unlock()
		return apierr.New(apierr.CodeLogUnavailable, "the platform's log does not answer").WithRetryAfter(time.Second)
	}
	o.queuedWrites = append(o.queuedWrites, w)
	o.mu.Unlock()
	o.wake()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return o.withdrawWrite(w)
	}
}

// withdrawWrite cancels a write whose caller no longer waits. A write that is
// still queued is never appended, so the error says that it did not run. The
// outcome of a write that is being appended is unknown.
func (o *Owner) withdrawWrite(w *pendingWrite) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, queued := range o.queuedWrites {
		if queued == w {
			o.queuedWrites = append(o.queuedWrites[:i:i], o.queuedWrites[i+1:]...)
			return apierr.New(apierr.CodeLogUnavailable, "the platform's log does not answer").WithRetryAfter(time.Second)
		}
	}
	return apierr.MaybeExecuted(apierr.CodeLogUnavailable, "the platform's log does not answer; ask again with the same key").WithRetryAfter(time.Second)
}
