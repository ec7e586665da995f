// Package standin simulates the external systems that pumiceford depends on: the log
// service, the host list, the weight store, the model engine and a plain service.
// Tests, the development command and the benchmark command use it. Settings and calls
// inject faults.
package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/infra"
	"pumiceford/internal/wait"
)

// LogSettings configure a Log.
type LogSettings struct {
	RecordLimit      int           // largest record in bytes, default 1 MiB
	AppendsPerSecond float64       // 0 means unlimited
	Retention        time.Duration // age at which records are trimmed, 0 keeps all
	RetainRecords    int           // most records kept in a stream, 0 keeps all
	Latency          time.Duration // added to each call
	Seed             uint64
}

// Log simulates the platform's log service in memory. One mutex guards all streams.
type Log struct {
	set LogSettings

	mu         sync.Mutex
	streams    map[string]*logStream
	rng        *rand.Rand
	down       bool
	loseNext   int     // appends to come that take effect and return an error
	dropNext   int     // appends to come that return an error without effect
	loseRate   float64 // fraction of appends whose response is lost
	slow       time.Duration
	lateCopies []lateCopy // repeated appends, added after the next append to their stream
	lateRate   float64
	tokens     float64
	refilledAt time.Time
	appends    uint64
	bytes      uint64
}

type lateCopy struct {
	stream string
	data   []byte
}

type logStream struct {
	first   uint64 // offset of records[0]
	records []infra.Record
	changed chan struct{} // closed at the next append
}

// defaultRecordLimit is the default size limit of a record in bytes.
const defaultRecordLimit = 1 << 20

// NewLog returns an empty log.
func NewLog(set LogSettings) *Log {
	if set.RecordLimit == 0 {
		set.RecordLimit = defaultRecordLimit
	}
	return &Log{
		set:        set,
		streams:    make(map[string]*logStream),
		rng:        rand.New(rand.NewPCG(set.Seed, set.Seed)),
		refilledAt: time.Now(),
		tokens:     set.AppendsPerSecond,
	}
}

// SetDown starts or ends an outage of the log.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetExtraLatency sets a delay that is added to each call.
func (l *Log) SetExtraLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = d
}

// LoseResponses makes the next n appends take effect and then return an error.
func (l *Log) LoseResponses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseNext = n
}

// DropAppends makes the next n appends return an error without effect.
func (l *Log) DropAppends(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropNext = n
}

// SetFaultRates sets the fraction of appends that take effect but whose response is
// lost, and the fraction of those that are appended a second time later.
func (l *Log) SetFaultRates(lost, late float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseRate = lost
	l.lateRate = late
}

// Trim removes the records of a stream below an offset.
func (l *Log) Trim(stream string, below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(stream).trim(below)
}

// AppendCounts returns the number of appends that took effect and their total bytes.
func (l *Log) AppendCounts() (appends, bytes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) tail() uint64 {
	return s.first + uint64(len(s.records))
}

func (s *logStream) trim(below uint64) {
	for len(s.records) > 0 && s.first < below {
		s.records = s.records[1:]
		s.first++
	}
}

func (l *Log) delay(ctx context.Context) error {
	l.mu.Lock()
	d := l.set.Latency + l.slow
	l.mu.Unlock()
	if err := wait.For(ctx, d); err != nil {
		return errors.Mark(err, infra.ErrUnavailable)
	}
	return nil
}

// Append implements infra.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := l.delay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, infra.ErrUnavailable
	}
	if len(data) > l.set.RecordLimit {
		return 0, infra.ErrTooLarge
	}
	if wait := l.takeToken(); wait > 0 {
		return 0, &infra.ThrottledError{RetryAfter: wait}
	}
	if l.dropNext > 0 {
		l.dropNext--
		return 0, infra.ErrUnavailable
	}
	off := l.add(stream, data)
	l.appendLateCopies(stream)
	if l.loseResponse(stream, data) {
		return 0, infra.ErrUnavailable
	}
	return off, nil
}

func (l *Log) loseResponse(stream string, data []byte) bool {
	lost := l.loseNext > 0 || (l.loseRate > 0 && l.rng.Float64() < l.loseRate)
	if l.loseNext > 0 {
		l.loseNext--
	}
	if lost && l.rng.Float64() < l.lateRate {
		l.lateCopies = append(l.lateCopies, lateCopy{stream: stream, data: data})
	}
	return lost
}

// appendLateCopies appends the repeated records of a stream after a newer one.
func (l *Log) appendLateCopies(stream string) {
	kept := l.lateCopies[:0]
	for _, c := range l.lateCopies {
		if c.stream == stream {
			l.add(stream, c.data)
			continue
		}
		kept = append(kept, c)
	}
	l.lateCopies = kept
}

func (l *Log) takeToken() time.Duration {
	rate := l.set.AppendsPerSecond
	if rate <= 0 {
		return 0
	}
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*rate, rate)
	l.refilledAt = now
	if l.tokens < 1 {
		return time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	l.tokens--
	return 0
}

func (l *Log) add(stream string, data []byte) uint64 {
	s := l.stream(stream)
	off := s.tail()
	rec := infra.Record{Offset: off, Time: time.Now(), Data: append([]byte(nil), data...)}
	s.records = append(s.records, rec)
	l.retain(s)
	l.appends++
	l.bytes += uint64(len(data))
	close(s.changed)
	s.changed = make(chan struct{})
	return off
}

func (l *Log) retain(s *logStream) {
	if n := l.set.RetainRecords; n > 0 && len(s.records) > n {
		s.trim(s.tail() - uint64(n))
	}
	if l.set.Retention <= 0 {
		return
	}
	horizon := time.Now().Add(-l.set.Retention)
	for len(s.records) > 0 && s.records[0].Time.Before(horizon) {
		s.trim(s.first + 1)
	}
}

// Read implements infra.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, maxBytes int, wait time.Duration) (infra.Page, error) {
	if err := l.delay(ctx); err != nil {
		return infra.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, changed, err := l.readNow(stream, from, maxBytes)
		if err != nil || len(page.Records) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-ctx.Done():
			return infra.Page{}, infra.ErrUnavailable
		case <-deadline.C:
			wait = 0
		case <-changed:
		}
	}
}

func (l *Log) readNow(stream string, from uint64, maxBytes int) (infra.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return infra.Page{}, nil, infra.ErrUnavailable
	}
	s := l.stream(stream)
	l.retain(s)
	page := infra.Page{Earliest: s.first, Tail: s.tail()}
	if from < s.first {
		return page, nil, &infra.TrimmedError{Earliest: s.first, Tail: s.tail()}
	}
	size := 0
	for off := from; off < s.tail(); off++ {
		rec := s.records[off-s.first]
		if size > 0 && size+len(rec.Data) > maxBytes {
			break
		}
		size += len(rec.Data)
		page.Records = append(page.Records, rec)
	}
	return page, s.changed, nil
}
