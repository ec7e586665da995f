package jobstore_test

import (
	"context"
	"fmt"
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
		Topic: topic, ProgressTopic: "progress", Partitions: 1, CallBytes: 2 << 20, Keep: time.Minute,
	}, logging.Logger{})
}

func spec(id string, items int) *wire.JobSpec {
	s := &wire.JobSpec{Id: id, Host: "h", Path: "/p/"}
	for i := range items {
		s.Items = append(s.Items, &wire.JobItem{Id: fmt.Sprint(id, i), Path: "/p/x", Body: []byte("body")})
	}
	return s
}

// inBubble runs fn in virtual time and ends everything that it started.
func inBubble(t *testing.T, fn func(ctx context.Context, t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fn(ctx, t)
		cancel()
		synctest.Wait()
	})
}

// Symptom: a job runs that its client was told would not run.
// Sequence: the append of the job gets no answer, the client is told "not run"
// when the time is over, and the store carries the append out seconds later.
// Cause: "no answer" taken for "not done".
func TestNotRunIsNotSaidWhileTheAppendMayStillCome(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.For("a"))
		_, _ = st.Results(ctx, "none", 0, 0) // loads the partition
		s.SetFault("a", sharedstore.Late)
		one, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		err := st.Accept(one, spec("job", 1))
		if !errors.Is(err, jobstore.ErrUnknownEffect) {
			t.Fatalf("got %v, want an unknown effect", err)
		}
		time.Sleep(5 * time.Second)
		if _, err := open(ctx, s.For("b")).Results(ctx, "job", 0, 0); err != nil {
			t.Fatalf("the late append did not come: %v", err)
		}
	})
}

// Symptom: a job runs that its client was told would not run.
// Sequence: a job needs two appends. The first is done; the second gets no answer,
// is refused when tried again, and is carried out after the client was told.
// Cause: only an append at the partition's first end was remembered as one that
// may still come.
func TestNotRunIsNotSaidWhileTheRestMayStillCome(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a := &secondAppendLate{Log: s.For("a"), faults: s}
		st := open(ctx, a)
		_, _ = st.Results(ctx, "none", 0, 0) // loads the partition
		one, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
		defer cancel()
		err := st.Accept(one, bigSpec("job"))
		if !errors.Is(err, jobstore.ErrUnknownEffect) {
			t.Fatalf("got %v, want an unknown effect", err)
		}
		time.Sleep(2 * sharedstore.LateBy)
		if _, err := open(ctx, s.For("b")).Results(ctx, "job", 0, 0); err != nil {
			t.Fatalf("the late append did not come: %v", err)
		}
	})
}

// secondAppendLate lets the second append come late without an answer, and has
// the store refuse this host after it.
type secondAppendLate struct {
	store.Log
	faults  *sharedstore.Store
	appends int
}

func (l *secondAppendLate) Append(ctx context.Context, p store.Partition, recs []store.Record, at int64) (int64, error) {
	l.appends++
	if l.appends == 2 {
		l.faults.SetFault("a", sharedstore.Late)
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

// Symptom: a client is left without an answer although nothing was done.
// Sequence: the store refuses each call until the client's time is over.
// Cause: every failure counted as an unknown effect.
func TestRefusedAppendIsCertainlyNotDone(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.For("a"))
		_, _ = st.Results(ctx, "none", 0, 0)
		s.SetFault("a", sharedstore.Refuse)
		one, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		if err := st.Accept(one, spec("job", 1)); !errors.Is(err, jobstore.ErrUnsure) || errors.Is(err, jobstore.ErrUnknownEffect) {
			t.Fatalf("got %v, want a certain refusal", err)
		}
	})
}

// Symptom: a job is accepted after a second, though the store took it at once.
// Sequence: the store carries the append out and loses its answer.
// Cause: the answer was waited for, although the record had come back already.
func TestALostAnswerIsNotWaitedFor(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.For("a"))
		_, _ = st.Results(ctx, "none", 0, 0) // loads the partition
		s.SetFault("a", sharedstore.LoseAnswer)
		began := time.Now()
		if err := st.Accept(ctx, spec("job", 1)); err != nil || time.Since(began) > 100*time.Millisecond {
			t.Fatalf("%v after %s", err, time.Since(began))
		}
	})
}

// Symptom: a late append of a writer that was thought dead changes a job.
// Sequence: a result's append gets no answer; the partition moves on; the append
// is carried out.
// Cause: an append without a condition on the partition's end.
func TestLateAppendOfAPausedWriterDoesNothing(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.For("a")), open(ctx, s.For("b"))
		if err := a.Accept(ctx, spec("job", 1)); err != nil {
			t.Fatal(err)
		}
		s.SetFault("a", sharedstore.Late)
		one, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_ = a.List(one, 0, []jobs.Outcome{{Job: "job", Item: 0, Text: []byte("old")}})
		if err := b.List(ctx, 0, []jobs.Outcome{{Job: "job", Item: 0, Text: []byte("new")}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * sharedstore.LateBy)
		res, err := open(ctx, s.For("c")).Results(ctx, "job", 0, 0)
		if err != nil || len(res.Items) != 1 || string(res.Items[0].Text) != "new" {
			t.Fatalf("results %v %v", res, err)
		}
	})
}

// Symptom: "no such job" for a job that another node accepted, or for any while
// the store is away.
// Cause: an absence told from an old state.
func TestAbsenceIsOnlyToldWhenCertain(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.For("a")), open(ctx, s.For("b"))
		if _, err := b.Results(ctx, "job", 0, 0); !errors.Is(err, jobstore.ErrUnknownJob) {
			t.Fatalf("got %v, want no such job", err)
		}
		if err := a.Accept(ctx, spec("job", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settle)
		if _, err := b.Results(ctx, "job", 0, 0); err != nil {
			t.Fatalf("accepted job: %v", err)
		}
		s.SetFault("b", sharedstore.Refuse)
		time.Sleep(time.Second)
		if _, err := b.Results(ctx, "other", 0, 0); !errors.Is(err, jobstore.ErrUnsure) {
			t.Fatalf("got %v, want no certainty", err)
		}
		if res, err := b.Results(ctx, "job", 0, 0); !errors.Is(err, jobstore.ErrUnsure) {
			t.Fatalf("nothing listed and not certain: %v %v", res, err)
		}
	})
}

// A job that needs several appends is whole, or not there.
func TestAJobOfManyRecords(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.For("a")), open(ctx, s.For("b"))
		if err := a.Accept(ctx, bigSpec("job")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settle)
		body, err := b.Body(ctx, "job", "job199")
		if err != nil || len(body) != 20<<10 {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
	})
}

// Symptom: two jobs under one id, one of them lost.
// Cause: a resend was taken in without looking, or another job for a resend.
func TestResendIsTheSameJobAndAnotherIsRefused(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		a, b := open(ctx, s.For("a")), open(ctx, s.For("b"))
		again := spec("job", 2)
		again.AcceptedUnixMs = 77 // it came later
		for _, st := range []*jobstore.Store{a, b} {
			if err := st.Accept(ctx, again); err != nil {
				t.Fatal(err)
			}
		}
		if n := len(s.Records(store.Partition{Topic: topic})); n != 1 {
			t.Fatalf("%d records for one job", n)
		}
		if err := b.Accept(ctx, spec("job", 3)); !errors.Is(err, jobstore.ErrOtherJob) {
			t.Fatalf("got %v for another job", err)
		}
	})
}

// settle is how long after an acceptance or a first read every node has to know.
const settle = time.Second

// oracle is what callers were told: a job that was accepted stays, and a result
// that was read keeps its place and content.
type oracle struct {
	accepted map[string]time.Time
	denied   map[string]bool // told "not run" each time
	read     map[string]told
}

type told struct {
	text string
	at   time.Time
}

// move is one step of a drawn story.
type move struct {
	Kind, Node, Job, Item, Ms int
}

// The kinds of moves.
const (
	moveFault = iota
	moveForget
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

// checkStories draws stories of moves and plays each in virtual time. What play returns
// is what failed, "" for nothing.
func checkStories[M any](t *testing.T, draw func(*rapid.T) M, least, most int, play func(context.Context, []M) string) {
	rapid.Check(t, func(rt *rapid.T) {
		// All is drawn before the bubble: rapid ends a draw by a panic.
		moves := rapid.SliceOfN(rapid.Custom(draw), least, most).Draw(rt, "moves")
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

// Symptom: any of an accepted job lost, a result moved or changed, a job there
// that was refused.
// Sequence: three nodes take jobs in, list results and read them while the store
// refuses, loses answers, is late, stays silent or forgets its history, and while
// all nodes lose their memory.
// Cause: whatever breaks one of the promises that the oracle knows.
func TestPromisesUnderDrawnFaults(t *testing.T) {
	checkStories(t, drawMove, 5, 60, play)
}

var faults = []sharedstore.Fault{
	sharedstore.None, sharedstore.None, sharedstore.Refuse, sharedstore.Silent, sharedstore.LoseAnswer, sharedstore.Late,
}

func play(ctx context.Context, moves []move) string {
	s := sharedstore.New(1)
	hosts := []string{"a", "b", "c"}
	nodes := make([]*jobstore.Store, len(hosts))
	restart := func() {
		for i, h := range hosts {
			nodes[i] = open(ctx, s.For(h))
		}
	}
	restart()
	o := oracle{accepted: make(map[string]time.Time), denied: make(map[string]bool), read: make(map[string]told)}
	for i, m := range moves {
		id := fmt.Sprint("job", m.Job)
		one, cancel := context.WithTimeout(ctx, time.Duration(m.Ms)*time.Millisecond)
		failure := ""
		switch m.Kind {
		case moveFault:
			s.SetFault(hosts[m.Node], faults[(m.Item+m.Ms)%len(faults)])
		case moveForget:
			s.Forget(store.Partition{Topic: topic})
		case moveRestart:
			restart()
		case moveSleep:
			time.Sleep(time.Duration(m.Ms) * time.Millisecond)
		case moveAccept:
			o.accept(id, nodes[m.Node].Accept(one, spec(id, 3)))
		case moveList:
			// Whether it was listed is seen by reading.
			_ = nodes[m.Node].List(one, 0, []jobs.Outcome{{Job: id, Item: m.Item, Text: []byte(fmt.Sprint("t", i))}})
		case moveRead:
			failure = o.check(one, nodes[m.Node], id)
		}
		cancel()
		if failure != "" {
			return fmt.Sprintf("move %d: %s", i, failure)
		}
	}
	for _, h := range hosts {
		s.SetFault(h, sharedstore.None)
	}
	time.Sleep(2 * sharedstore.LateBy)
	restart()
	for i := range 3 {
		if failure := o.check(ctx, nodes[i], fmt.Sprint("job", i)); failure != "" {
			return "at the end: " + failure
		}
	}
	return ""
}

func (o *oracle) accept(id string, err error) {
	if err != nil && !errors.Is(err, jobstore.ErrUnknownEffect) {
		if _, asked := o.denied[id]; !asked {
			o.denied[id] = true
		}
		return
	}
	o.denied[id] = false // it may be there, rightly
	if _, known := o.accepted[id]; err == nil && !known {
		o.accepted[id] = time.Now()
	}
}

func (o *oracle) check(ctx context.Context, st *jobstore.Store, id string) string {
	began := time.Now()
	res, err := st.Results(ctx, id, 0, 0)
	at, accepted := o.accepted[id]
	switch {
	case errors.Is(err, jobstore.ErrUnknownJob) && accepted && began.Sub(at) >= settle:
		return id + " was accepted and is gone"
	case err != nil:
		return ""
	case o.denied[id]:
		return id + " was refused as not run and is there"
	}
	for pos := range 3 {
		key := fmt.Sprint(id, "/", pos)
		was, known := o.read[key]
		if pos >= len(res.Items) {
			if known && began.Sub(was.at) >= settle {
				return fmt.Sprintf("%s was %q and is gone", key, was.text)
			}
			continue
		}
		now := res.Items[pos].ID + string(res.Items[pos].Text)
		if known && was.text != now {
			return fmt.Sprintf("%s was %q and is %q", key, was.text, now)
		}
		if !known {
			o.read[key] = told{text: now, at: time.Now()}
		}
	}
	return ""
}

// Symptom: items of a killed runner start anew.
// Cause: progress that was not kept, or not dropped when the item was done.
func TestProgressIsKeptAndDropped(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(1)
		st := open(ctx, s.For("a"))
		k, l := jobstore.ItemKey{Job: "job", Item: 1}, jobstore.ItemKey{Job: "job", Item: 2}
		all := []jobstore.Progress{{Key: k, Last: 9, Text: []byte("nine")}, {Key: l, Last: 3, Text: []byte("three")}}
		if err := st.SaveProgress(ctx, 0, all); err != nil {
			t.Fatal(err)
		}
		if err := st.SaveProgress(ctx, 0, []jobstore.Progress{{Key: l, Done: true}}); err != nil {
			t.Fatal(err)
		}
		got, err := open(ctx, s.For("b")).LoadProgress(ctx, 0)
		if err != nil || len(got) != 1 || got[0].Key != k || got[0].Last != 9 || string(got[0].Text) != "nine" {
			t.Fatalf("%v %v", got, err)
		}
	})
}
