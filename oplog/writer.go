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

// Apply receives every record of a stream in offset order, copies included.
// The receiver keeps its own Dedupe.
type Apply func(rec infra.Record)

// Stream follows one log stream and appends to it. It is used by one goroutine
// at a time.
type Stream struct {
	log   infra.Log
	name  string
	inc   Incarnation
	seq   uint64
	next  uint64
	apply Apply

	pending   uint64 // own sequence being written, 0 when none
	landed    bool   // pending was read back
	landedOff uint64 // offset of the first copy of pending

	failing atomic.Bool

	// RetryPause is the wait between tries while the log does not answer.
	RetryPause time.Duration
	// CallTimeout bounds one call to the log.
	CallTimeout time.Duration
}

// Defaults of Stream.
const (
	defaultRetryPause  = 100 * time.Millisecond
	defaultCallTimeout = 3 * time.Second
	readBytes          = 4 << 20
)

// NewStream returns a Stream that reads from offset next on.
func NewStream(log infra.Log, name string, inc Incarnation, next uint64, apply Apply) *Stream {
	return &Stream{
		log:         log,
		name:        name,
		inc:         inc,
		next:        next,
		apply:       apply,
		RetryPause:  defaultRetryPause,
		CallTimeout: defaultCallTimeout,
	}
}

// Next returns the offset that will be read next.
func (s *Stream) Next() uint64 {
	return s.next
}

// Skip moves the reader to offset, after a snapshot was installed.
func (s *Stream) Skip(offset uint64) {
	s.next = offset
}

// Failing reports whether the last call to the log got no answer. It may be
// called from any goroutine.
func (s *Stream) Failing() bool {
	return s.failing.Load()
}

func (s *Stream) note(err error) {
	s.failing.Store(err != nil && !isRefusal(err))
}

// unanswered turns the end of one call's own time into ErrUnavailable. A process
// that was paused sees it although the log is well; taking it for a fault of the
// stream would stop a partition for good.
func unanswered(ctx context.Context, err error) error {
	if err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return errors.Mark(err, infra.ErrUnavailable)
	}
	return err
}

// isRefusal reports whether the log answered, although with a refusal.
func isRefusal(err error) bool {
	var throttled *infra.ThrottledError
	var trimmed *infra.TrimmedError
	return errors.Is(err, infra.ErrTooLarge) || errors.As(err, &throttled) || errors.As(err, &trimmed)
}

// Poll reads once and applies what it got. It returns the tail that the log told.
func (s *Stream) Poll(ctx context.Context, wait time.Duration) (uint64, error) {
	short, cancel := context.WithTimeout(ctx, s.CallTimeout+wait)
	defer cancel()
	page, err := s.log.Read(short, s.name, s.next, readBytes, wait)
	err = unanswered(ctx, err)
	s.note(err)
	if err != nil {
		return 0, err
	}
	for _, rec := range page.Records {
		s.take(rec)
	}
	return page.Tail, nil
}

// Catchup reads until the reader is at the tail that the log told last.
func (s *Stream) Catchup(ctx context.Context) error {
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

func (s *Stream) take(rec infra.Record) {
	if rec.Offset < s.next {
		return
	}
	s.next = rec.Offset + 1
	if env, inc, ok := Decode(rec.Data); ok && inc == s.inc {
		s.noteOwn(env.GetSeq(), rec.Offset)
	}
	s.apply(rec)
}

func (s *Stream) noteOwn(seq, offset uint64) {
	if seq != s.pending || s.landed {
		return
	}
	s.landed = true
	s.landedOff = offset
}

// Write appends entries as one record and returns once the record was read back
// and applied. It repeats the append under the same sequence while the log's
// answer is lost, so the record takes effect once. It ends early only when ctx
// ends or the record is refused as too large; after ctx ended the record may
// still take effect later, and the sequence is not used again.
func (s *Stream) Write(ctx context.Context, epoch uint64, entries []*wire.Entry) (uint64, error) {
	s.seq++
	seq := s.seq
	env := &wire.Envelope{Incarnation: s.inc[:], Seq: seq, Epoch: epoch, Entries: entries}
	data, err := proto.Marshal(env)
	if err != nil {
		return 0, errors.Wrap(err, "encode envelope")
	}
	s.pending = seq
	s.landed = false
	defer func() { s.pending = 0 }()
	for {
		err := s.appendOnce(ctx, data)
		if errors.Is(err, infra.ErrTooLarge) {
			return 0, err
		}
		if off, ok := s.readBack(ctx, err == nil); ok {
			return off, nil
		}
		if err := s.pause(ctx, err); err != nil {
			return 0, err
		}
	}
}

func (s *Stream) appendOnce(ctx context.Context, data []byte) error {
	short, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	_, err := s.log.Append(short, s.name, data)
	err = unanswered(ctx, err)
	s.note(err)
	return err
}

// readBack reads up to the tail and reports the offset of the first copy of our
// record. When the append was acknowledged it keeps reading until the record
// shows, because appending again could then only make a useless copy.
func (s *Stream) readBack(ctx context.Context, acked bool) (uint64, bool) {
	for {
		err := s.Catchup(ctx)
		if s.landed {
			return s.landedOff, true
		}
		var trimmed *infra.TrimmedError
		if errors.As(err, &trimmed) || ctx.Err() != nil {
			return 0, false
		}
		if !acked {
			return 0, false
		}
		if s.pause(ctx, nil) != nil {
			return 0, false
		}
	}
}

func (s *Stream) pause(ctx context.Context, cause error) error {
	d := s.RetryPause
	var throttled *infra.ThrottledError
	if errors.As(cause, &throttled) && throttled.RetryAfter > 0 {
		d = throttled.RetryAfter
	}
	return wait.For(ctx, d)
}
