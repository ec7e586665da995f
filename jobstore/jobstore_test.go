package jobstore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"pumiceford/jobs"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/wire"
)

const topic = "jobs"

func open(ctx context.Context, log store.Log) *jobstore.Store {
	return jobstore.New(ctx, log, jobstore.Settings{
		Topic: topic, ProgressTopic: "progress", Partitions: 1, MaxAppendBytes: 2 << 20, Retention: time.Minute,
	}, logging.Logger{})
}

func spec(id string, items int) *wire.JobSpec {
	s := &wire.JobSpec{Id: id, Host: "h", Path: "/p/"}
	for i := range items {
		s.Items = append(s.Items, &wire.JobItem{Id: fmt.Sprint(id, i), Path: "/p/x", Body: []byte("body")})
	}
	return s
}

// inBubble runs fn in virtual time. It then cancels ctx and waits for all goroutines that
// fn started.
func inBubble(t *testing.T, fn func(ctx context.Context, t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fn(ctx, t)
		cancel()
		synctest.Wait()
	})
}

// Guards against a job that runs although the response to its client was "not run". The
// append of the job gets no response before the deadline, and the store carries it out
// seconds later. A missing response must not be reported as "not run".
func TestLateAppendReportsOutcomeUnknown(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.ClientFor("a"))
		_, _ = st.Results(ctx, "none", 0, 0) // load the partition
		s.SetFault("a", sharedstore.ApplyLate)
		callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		err := st.Accept(callCtx, spec("job", 1))
		if !errors.Is(err, jobstore.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
		time.Sleep(5 * time.Second)
		if _, err := open(ctx, s.ClientFor("b")).Results(ctx, "job", 0, 0); err != nil {
			t.Fatalf("the late append was not carried out: %v", err)
		}
	})
}

// Guards against the same failure for a job that needs two appends. The first succeeds; the
// second gets no response, is refused on the retry, and is carried out after the client has
// got its response. An append at any end may be pending, not only one at the end at which
// the write began.
func TestLateSecondAppendReportsOutcomeUnknown(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a := &secondAppendLate{Log: s.ClientFor("a"), faults: s}
		st := open(ctx, a)
		_, _ = st.Results(ctx, "none", 0, 0) // load the partition
		callCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		err := st.Accept(callCtx, bigSpec("job"))
		if !errors.Is(err, jobstore.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
		time.Sleep(2 * sharedstore.LateDelay)
		if _, err := open(ctx, s.ClientFor("b")).Results(ctx, "job", 0, 0); err != nil {
			t.Fatalf("the late append was not carried out: %v", err)
		}
	})
}

// secondAppendLate delays the second append so that it gets no response, and makes the store
// refuse this host afterwards.
type secondAppendLate struct {
	store.Log
	faults  *sharedstore.Store
	appends int
}

func (l *secondAppendLate) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	l.appends++
	if l.appends == 2 {
		l.faults.SetFault("a", sharedstore.ApplyLate)
		defer l.faults.SetFault("a", sharedstore.Refuse)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
	}
	return l.Log.Append(ctx, p, recs, at)
}

// bigSpec returns a job that needs more than one append.
func bigSpec(id string) *wire.JobSpec {
	big := spec(id, 200)
	for _, it := range big.GetItems() {
		it.Body = make([]byte, 20<<10)
	}
	return big
}

// lateThenFull is a log whose first append gets no response and is carried out late. From then
// on it has no space left.
type lateThenFull struct {
	store.Log
	faults  *sharedstore.Store
	appends atomic.Int64
}

func (l *lateThenFull) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	if l.appends.Add(1) > 1 {
		return 0, store.ErrFull
	}
	l.faults.SetFault("a", sharedstore.ApplyLate)
	defer l.faults.SetFault("a", sharedstore.NoFault)
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	return l.Log.Append(ctx, p, recs, at)
}

// Guards against a job that runs although its client was told that nothing was written: an
// append gets no response and is carried out late, and the next one, to the same partition or
// to an alternate, finds the store full.
func TestFullStoreKeepsUnknownOutcome(t *testing.T) {
	for _, partitions := range []int{1, partitionCount} {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			s := sharedstore.New(partitions)
			openOn := func(log store.Log) *jobstore.Store {
				if partitions == 1 {
					return open(ctx, log)
				}
				return openMany(ctx, log)
			}
			st := openOn(&lateThenFull{Log: s.ClientFor("a"), faults: s})
			_, _ = st.Results(ctx, "none", 0, 0) // load the partition
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if err := st.Accept(callCtx, specSentNow("job", 1)); !errors.Is(err, jobstore.ErrOutcomeUnknown) {
				t.Errorf("%d partitions: got %v, want an unknown outcome", partitions, err)
			}
			time.Sleep(2 * sharedstore.LateDelay)
			if _, err := openOn(s.ClientFor("b")).Results(ctx, "job", 0, 0); err != nil {
				t.Errorf("%d partitions: the late append was not carried out: %v", partitions, err)
			}
		})
	}
}

// Guards against an unknown outcome being reported although nothing was written: the store is
// full from the first append on.
func TestFullStoreReportsNotRun(t *testing.T) {
	for _, partitions := range []int{1, partitionCount} {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			log := &lateThenFull{Log: sharedstore.New(partitions).ClientFor("a")}
			log.appends.Add(1)
			st := open(ctx, log)
			if partitions > 1 {
				st = openMany(ctx, log)
			}
			if err := st.Accept(ctx, specSentNow("job", 1)); !errors.Is(err, store.ErrFull) || errors.Is(err, jobstore.ErrOutcomeUnknown) {
				t.Errorf("%d partitions: got %v, want the certain error that the store is full", partitions, err)
			}
			if _, err := st.Results(ctx, "job", 0, 0); !errors.Is(err, jobstore.ErrJobNotFound) {
				t.Errorf("%d partitions: read of the refused job: %v", partitions, err)
			}
		})
	}
}

// Guards against an unknown outcome being reported although nothing was written: the store
// refuses each call until the client's deadline.
func TestRefusedAppendReportsNotRun(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.ClientFor("a"))
		_, _ = st.Results(ctx, "none", 0, 0)
		s.SetFault("a", sharedstore.Refuse)
		callCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		if err := st.Accept(callCtx, spec("job", 1)); !errors.Is(err, jobstore.ErrStoreUnavailable) || errors.Is(err, jobstore.ErrOutcomeUnknown) {
			t.Fatalf("got %v, want the certain error that nothing was written", err)
		}
	})
}

// Guards against an acceptance that takes a second although the store wrote the job at once.
// The store loses the response to the append, but the follower reads the record back.
func TestAcceptReturnsOnceItsRecordIsRead(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.ClientFor("a"))
		_, _ = st.Results(ctx, "none", 0, 0) // load the partition
		s.SetFault("a", sharedstore.LoseResponse)
		began := time.Now()
		if err := st.Accept(ctx, spec("job", 1)); err != nil || time.Since(began) > 100*time.Millisecond {
			t.Fatalf("Accept returned %v after %s, want nil within 100ms", err, time.Since(began))
		}
	})
}

// Guards against a late append that changes a job. The append of a result gets no response,
// and the store carries it out after another process has written to the partition. The
// condition on the partition's end must reject it.
func TestLateAppendOfPausedWriterHasNoEffect(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.ClientFor("a")), open(ctx, s.ClientFor("b"))
		if err := a.Accept(ctx, spec("job", 1)); err != nil {
			t.Fatal(err)
		}
		s.SetFault("a", sharedstore.ApplyLate)
		callCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_ = a.RecordOutcomes(callCtx, 0, []jobs.Outcome{{Job: "job", Item: 0, Text: []byte("old")}})
		if err := b.RecordOutcomes(ctx, 0, []jobs.Outcome{{Job: "job", Item: 0, Text: []byte("new")}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * sharedstore.LateDelay)
		res, err := open(ctx, s.ClientFor("c")).Results(ctx, "job", 0, 0)
		if err != nil || len(res.Items) != 1 || string(res.Items[0].Text) != "new" {
			t.Fatalf("got results %v and error %v, want the one result \"new\"", res, err)
		}
	})
}

// Guards against a job reported as not found, because the local state is stale, when another
// node has accepted it or the store is unresponsive.
func TestUnknownJobRequiresFreshState(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.ClientFor("a")), open(ctx, s.ClientFor("b"))
		if _, err := b.Results(ctx, "job", 0, 0); !errors.Is(err, jobstore.ErrJobNotFound) {
			t.Fatalf("got %v, want job not found", err)
		}
		if err := a.Accept(ctx, spec("job", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(propagationTime)
		if _, err := b.Results(ctx, "job", 0, 0); err != nil {
			t.Fatalf("results of an accepted job: %v", err)
		}
		s.SetFault("b", sharedstore.Refuse)
		time.Sleep(time.Second)
		if _, err := b.Results(ctx, "other", 0, 0); !errors.Is(err, jobstore.ErrStoreUnavailable) {
			t.Fatalf("got %v, want an unavailable store", err)
		}
		if res, err := b.Results(ctx, "job", 0, 0); !errors.Is(err, jobstore.ErrStoreUnavailable) {
			t.Fatalf("no listed result and stale state: got %v and error %v, want an unavailable store", res, err)
		}
	})
}

// Checks that a job that needs several appends is readable in full at another process. Such
// a job must be either complete or absent.
func TestJobOfSeveralAppendsIsComplete(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.ClientFor("a")), open(ctx, s.ClientFor("b"))
		if err := a.Accept(ctx, bigSpec("job")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(propagationTime)
		body, err := b.Body(ctx, "job", "job199")
		if err != nil || len(body) != 20<<10 {
			t.Fatalf("got a body of %d bytes and error %v, want 20480 bytes", len(body), err)
		}
	})
}

// Guards against two jobs under one id, of which one is lost: a resend must not be stored
// again, and a different job must not be taken for a resend.
func TestResendIsIdempotentAndOtherJobIsRefused(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.ClientFor("a")), open(ctx, s.ClientFor("b"))
		again := spec("job", 2)
		again.AcceptedUnixMs = 77 // a resend is accepted later
		for _, st := range []*jobstore.Store{a, b} {
			if err := st.Accept(ctx, again); err != nil {
				t.Fatal(err)
			}
		}
		if n := len(s.Records(store.Partition{Topic: topic})); n != 1 {
			t.Fatalf("got %d records for one job, want 1", n)
		}
		if err := b.Accept(ctx, spec("job", 3)); !errors.Is(err, jobstore.ErrJobConflict) {
			t.Fatalf("got %v for a different job, want a conflict", err)
		}
	})
}

// propagationTime is the time within which every node must know an accepted job or a result
// that a caller has read.
const propagationTime = time.Second

// oracle records the responses that callers got and checks later responses against them: an
// accepted job stays readable, and a result keeps its position and content once read.
type oracle struct {
	accepted map[string]time.Time
	denied   map[string]bool // every response so far was "not run"
	read     map[string]readResult
}

type readResult struct {
	text string
	at   time.Time
}

// move is one randomly drawn step of a test run.
type move struct {
	Kind, Node, Job, Item, Ms int
}

// The kinds of moves.
const (
	moveFault = iota
	moveDropHistory
	moveRestart
	moveSleep
	moveAccept
	moveList
	moveRead
	moveKinds
)

func drawMove(t *rapid.T) move {
	return move{
		Kind: rapid.IntRange(0, moveKinds-1).Draw(t, "kind"),
		Node: rapid.IntRange(0, 2).Draw(t, "node"),
		Job:  rapid.IntRange(0, 2).Draw(t, "job"),
		Item: rapid.IntRange(0, 2).Draw(t, "item"),
		Ms:   rapid.IntRange(0, 1500).Draw(t, "ms"),
	}
}

// checkMoves draws sequences of moves and runs each in virtual time with play, which
// returns a description of the failure, or "" for none.
func checkMoves[M any](t *testing.T, draw func(*rapid.T) M, minMoves, maxMoves int, play func(context.Context, []M) string) {
	rapid.Check(t, func(rt *rapid.T) {
		// All moves are drawn outside the synctest bubble, because rapid ends a draw by a panic.
		moves := rapid.SliceOfN(rapid.Custom(draw), minMoves, maxMoves).Draw(rt, "moves")
		var failure string
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			failure = play(ctx, moves)
			cancel()
			synctest.Wait()
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// Guards against accepted jobs that are lost, results that move or change, and refused jobs
// that exist. Three nodes accept jobs, list results and read them while the store refuses
// calls, loses responses, responds late or not at all or drops its history, and while all
// nodes restart without their state.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	checkMoves(t, drawMove, 5, 60, playMoves)
}

var faults = []sharedstore.Fault{
	sharedstore.NoFault, sharedstore.NoFault, sharedstore.Refuse, sharedstore.NoResponse, sharedstore.LoseResponse, sharedstore.ApplyLate,
}

func playMoves(ctx context.Context, moves []move) string {
	s := sharedstore.New(1)
	hosts := []string{"a", "b", "c"}
	nodes := make([]*jobstore.Store, len(hosts))
	restart := func() {
		for i, h := range hosts {
			nodes[i] = open(ctx, s.ClientFor(h))
		}
	}
	restart()
	o := oracle{accepted: make(map[string]time.Time), denied: make(map[string]bool), read: make(map[string]readResult)}
	for i, m := range moves {
		id := fmt.Sprint("job", m.Job)
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(m.Ms)*time.Millisecond)
		failure := ""
		switch m.Kind {
		case moveFault:
			s.SetFault(hosts[m.Node], faults[(m.Item+m.Ms)%len(faults)])
		case moveDropHistory:
			s.DropHistory(store.Partition{Topic: topic})
		case moveRestart:
			restart()
		case moveSleep:
			time.Sleep(time.Duration(m.Ms) * time.Millisecond)
		case moveAccept:
			o.accept(id, nodes[m.Node].Accept(callCtx, spec(id, 3)))
		case moveList:
			// A later read shows whether the result was listed.
			_ = nodes[m.Node].RecordOutcomes(callCtx, 0, []jobs.Outcome{{Job: id, Item: m.Item, Text: []byte(fmt.Sprint("t", i))}})
		case moveRead:
			failure = o.check(callCtx, nodes[m.Node], id)
		}
		cancel()
		if failure != "" {
			return fmt.Sprintf("move %d: %s", i, failure)
		}
	}
	for _, h := range hosts {
		s.SetFault(h, sharedstore.NoFault)
	}
	time.Sleep(2 * sharedstore.LateDelay)
	restart()
	for i := range 3 {
		if failure := o.check(ctx, nodes[i], fmt.Sprint("job", i)); failure != "" {
			return "at the end: " + failure
		}
	}
	return ""
}

func (o *oracle) accept(id string, err error) {
	if err != nil && !errors.Is(err, jobstore.ErrOutcomeUnknown) {
		if _, known := o.denied[id]; !known {
			o.denied[id] = true
		}
		return
	}
	o.denied[id] = false // the job may exist now
	if _, known := o.accepted[id]; err == nil && !known {
		o.accepted[id] = time.Now()
	}
}

func (o *oracle) check(ctx context.Context, st *jobstore.Store, id string) string {
	began := time.Now()
	res, err := st.Results(ctx, id, 0, 0)
	at, accepted := o.accepted[id]
	switch {
	case errors.Is(err, jobstore.ErrJobNotFound) && accepted && began.Sub(at) >= propagationTime:
		return id + " was accepted and is not found"
	case err != nil:
		return ""
	case o.denied[id]:
		return id + " was refused as not run and exists"
	}
	for pos := range 3 {
		key := fmt.Sprint(id, "/", pos)
		earlier, known := o.read[key]
		if pos >= len(res.Items) {
			if known && began.Sub(earlier.at) >= propagationTime {
				return fmt.Sprintf("%s was %q and is not listed", key, earlier.text)
			}
			continue
		}
		got := res.Items[pos].ID + string(res.Items[pos].Text)
		if known && earlier.text != got {
			return fmt.Sprintf("%s was %q and is %q", key, earlier.text, got)
		}
		if !known {
			o.read[key] = readResult{text: got, at: time.Now()}
		}
	}
	return ""
}

// Guards against items of a killed runner that restart from the beginning because their
// progress was not saved, and against progress that remains after the item is done.
func TestProgressIsSavedAndDropped(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.ClientFor("a"))
		k, l := jobstore.ItemKey{Job: "job", Item: 1}, jobstore.ItemKey{Job: "job", Item: 2}
		all := []jobstore.Progress{{Key: k, LastEvent: 9, Text: []byte("nine")}, {Key: l, LastEvent: 3, Text: []byte("three")}}
		if err := st.SaveProgress(ctx, 0, all); err != nil {
			t.Fatal(err)
		}
		if err := st.SaveProgress(ctx, 0, []jobstore.Progress{{Key: l, Listed: true}}); err != nil {
			t.Fatal(err)
		}
		got, err := open(ctx, s.ClientFor("b")).LoadProgress(ctx, 0)
		if err != nil || len(got) != 1 || got[0].Key != k || got[0].LastEvent != 9 || string(got[0].Text) != "nine" {
			t.Fatalf("got progress %v and error %v, want only that of item 1", got, err)
		}
	})
}
