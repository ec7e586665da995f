package oplog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"pumiceford/infra"
	"pumiceford/internal/wait"
	"pumiceford/wire"
)

// Apply receives every record of a stream in offset order, duplicates included.
// The receiver has its own Dedupe.
type Apply func(rec infra.Record)

// Stream reads one log stream and appends to it. Only one goroutine at a time may
// use it, unless a method says otherwise.
type Stream struct {
	log   infra.Log
	name  string
	inc   Incarnation
	seq   uint64
	next  uint64
	apply Apply

	pendingSeq      uint64 // sequence number being written, 0 if none
	confirmed       bool   // pendingSeq was read back
	confirmedOffset uint64 // offset at which pendingSeq was first read back

	unavailable atomic.Bool

	// RetryInterval is the wait between attempts while the log does not answer,
	// default 100 ms.
	RetryInterval time.Duration
	// CallTimeout bounds one call to the log, default 3 s. A read that waits for
	// records gets the wait in addition.
	CallTimeout time.Duration
}

// Defaults of Stream.
const (
	defaultRetryInterval = 100 * time.Millisecond
	defaultCallTimeout   = 3 * time.Second
	maxReadBytes         = 4 << 20
)

// NewStream returns a Stream that writes as inc and calls apply for each record
// from offset next on.
func NewStream(log infra.Log, name string, inc Incarnation, next uint64, apply Apply) *Stream {
	return &Stream{
		log:           log,
		name:          name,
		inc:           inc,
		next:          next,
		apply:         apply,
		RetryInterval: defaultRetryInterval,
		CallTimeout:   defaultCallTimeout,
	}
}

// Next returns the offset of the next record to read.
func (s *Stream) Next() uint64 {
	return s.next
}

// SeekTo sets the offset of the next record to read, for use after a snapshot was
// restored.
func (s *Stream) SeekTo(offset uint64) {
	s.next = offset
}

// Unavailable reports whether the last call to the log got no answer. Any goroutine
// may call it.
func (s *Stream) Unavailable() bool {
	return s.unavailable.Load()
}

// recordResult records whether the log answered a call.
func (s *Stream) recordResult(err error) {
	s.unavailable.Store(err != nil && !isRejection(err))
}

// markUnavailable marks a timeout of a single call as ErrUnavailable, so that
// callers retry. A paused process gets such a timeout although the log works, and
// treating it as a failure of the stream would stop the partition.
func markUnavailable(ctx context.Context, err error) error {
	if err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return errors.Mark(err, infra.ErrUnavailable)
	}
	return err
}

// isRejection reports whether err is an answer of the log that rejects the call.
func isRejection(err error) bool {
	var throttled *infra.ThrottledError
	var trimmed *infra.TrimmedError
	return errors.Is(err, infra.ErrTooLarge) || errors.As(err, &throttled) || errors.As(err, &trimmed)
}

// Poll reads one page and applies its records. It waits up to wait for the first
// record. It returns the tail offset reported by the log.
func (s *Stream) Poll(ctx context.Context, wait time.Duration) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, s.CallTimeout+wait)
	defer cancel()
	page, err := s.log.Read(callCtx, s.name, s.next, maxReadBytes, wait)
	err = markUnavailable(ctx, err)
	s.recordResult(err)
	if err != nil {
		return 0, err
	}
	for _, rec := range page.Records {
		s.applyRecord(rec)
	}
	return page.Tail, nil
}

// ReadToTail reads and applies records up to the tail.
func (s *Stream) ReadToTail(ctx context.Context) error {
	for {
		tail, err := s.Poll(ctx, 0)
		if err != nil {
			return err
		}
		if s.next >= tail {
			return nil
		}
	}
}

// applyRecord passes a record to apply, unless it was read before. It confirms
// the pending write when it reads back its record.
func (s *Stream) applyRecord(rec infra.Record) {
	if rec.Offset < s.next {
		return
	}
	s.next = rec.Offset + 1
	if env, inc, ok := Decode(rec.Data); ok && inc == s.inc {
		s.confirmOwn(env.GetSeq(), rec.Offset)
	}
	s.apply(rec)
}

// confirmOwn confirms the pending write if seq is its first copy.
func (s *Stream) confirmOwn(seq, offset uint64) {
	if seq != s.pendingSeq || s.confirmed {
		return
	}
	s.confirmed = true
	s.confirmedOffset = offset
}

// Write appends entries as one record and returns its offset once the record is
// read back and applied. While the log does not answer, it retries with the same
// sequence number, so the record takes effect once. It fails only when ctx ends,
// the entries cannot be encoded, or the log rejects the record as too large. After
// ctx has ended the record may still take effect later, so its sequence number is
// not used again.
func (s *Stream) Write(ctx context.Context, epoch uint64, entries []*wire.Entry) (uint64, error) {
	s.seq++
	seq := s.seq
	env := &wire.Envelope{Incarnation: s.inc[:], Seq: seq, Epoch: epoch, Entries: entries}
	data, err := proto.Marshal(env)
	if err != nil {
		return 0, errors.Wrap(err, "encode envelope")
	}
	s.pendingSeq = seq
	s.confirmed = false
	defer func() { s.pendingSeq = 0 }()
	for {
		err := s.appendOnce(ctx, data)
		if errors.Is(err, infra.ErrTooLarge) {
			return 0, err
		}
		if off, ok := s.readBack(ctx, err == nil); ok {
			return off, nil
		}
		if err := s.waitRetry(ctx, err); err != nil {
			return 0, err
		}
	}
}

func (s *Stream) appendOnce(ctx context.Context, data []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	_, err := s.log.Append(callCtx, s.name, data)
	err = markUnavailable(ctx, err)
	s.recordResult(err)
	return err
}

// readBack reads up to the tail and returns the offset of the pending record. It
// reports false when the record was not found. If the append was acknowledged, it
// reads until the record appears, because another append would only add a
// duplicate.
func (s *Stream) readBack(ctx context.Context, acked bool) (uint64, bool) {
	for {
		err := s.ReadToTail(ctx)
		if s.confirmed {
			return s.confirmedOffset, true
		}
		var trimmed *infra.TrimmedError
		if errors.As(err, &trimmed) || ctx.Err() != nil {
			return 0, false
		}
		if !acked {
			return 0, false
		}
		if s.waitRetry(ctx, nil) != nil {
			return 0, false
		}
	}
}

// waitRetry waits before the next attempt: for the retry-after of a throttled call,
// or else for RetryInterval.
func (s *Stream) waitRetry(ctx context.Context, cause error) error {
	d := s.RetryInterval
	var throttled *infra.ThrottledError
	if errors.As(cause, &throttled) && throttled.RetryAfter > 0 {
		d = throttled.RetryAfter
	}
	return wait.For(ctx, d)
}
