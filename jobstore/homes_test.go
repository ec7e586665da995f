package jobstore_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
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

// manyParts is how many partitions the jobs of these tests are spread over.
const manyParts = 6

func openMany(ctx context.Context, log store.Log) *jobstore.Store {
	return jobstore.New(ctx, log, jobstore.Settings{
		Topic: topic, ProgressTopic: "progress", Partitions: manyParts, CallBytes: 2 << 20, Keep: time.Minute,
	}, logging.Logger{})
}

// sent is a job that is sent now.
func sent(id string, items int) *wire.JobSpec {
	s := spec(id, items)
	s.AcceptedUnixMs = time.Now().UnixMilli()
	return s
}

func jobsPart(n int) store.Partition { return store.Partition{Topic: topic, Number: n} }

// awayWays are the ways in which a part of the store is away.
var awayWays = []sharedstore.Fault{sharedstore.Refuse, sharedstore.Silent, sharedstore.LoseAnswer, sharedstore.Late}

// Symptom: for as long as a third of the store's partitions is away, a third of all
// jobs is refused.
// Sequence: a job's id names a partition that is away; the others answer.
// Cause: only the partition of the id could take a job in.
func TestAJobIsTakenInWhileItsPartitionIsAway(t *testing.T) {
	for _, way := range awayWays {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			s := sharedstore.New(manyParts)
			st := openMany(ctx, s.For("a"))
			home := st.PartitionOf("job")
			_, _ = st.Results(ctx, "job", 0, 0) // loads the partitions
			s.SetPartitionFault(jobsPart(home), way)
			for n := range 3 {
				id := sameHome(st, home, n)
				began := time.Now()
				if err := st.Accept(ctx, sent(id, 2)); err != nil || time.Since(began) > 400*time.Millisecond {
					t.Errorf("fault %d, job %d: %v after %s", way, n, err, time.Since(began))
				}
				if body, err := openMany(ctx, s.For("b")).Body(ctx, id, id+"0"); string(body) != "body" && !errors.Is(err, jobstore.ErrUnsure) {
					t.Errorf("fault %d: body %q %v", way, body, err)
				}
			}
		})
	}
}

// sameHome returns the id of the n-th job of a partition.
func sameHome(st *jobstore.Store, home, n int) string {
	for i := 0; ; i++ {
		id := fmt.Sprint("job", n, "-", i)
		if st.PartitionOf(id) == home {
			return id
		}
	}
}

// Symptom: a job that was taken in during an outage is unknown after it, or its
// items are run by two processes for good.
// Sequence: its partition returns; before anything was handed off, one process
// reads the job; another one, with the hint's partition, runs its items.
// Cause: the job was looked for in one place, or both places were run.
func TestAHintIsHandedOffAndRunFromOnePlace(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(manyParts)
		a, b := openMany(ctx, s.For("a")), openMany(ctx, s.For("b"))
		home := a.PartitionOf("job")
		s.SetDown(jobsPart(home), true)
		if err := a.Accept(ctx, sent("job", 2)); err != nil {
			t.Fatal(err)
		}
		from := hintPartition(s, home)
		_ = b.Refresh(ctx, from, 0)
		if got := b.Open(from); len(got) != 2 || got[0].Home != home || got[0].HandOff == nil {
			t.Fatalf("open while its partition is away: %+v", got)
		}
		s.SetDown(jobsPart(home), false)
		time.Sleep(time.Second)
		if res, err := b.Results(ctx, "job", 0, 0); err != nil || res.Total != 2 {
			t.Fatalf("%+v %v", res, err)
		}
		if own, hinted := b.Open(home), b.Open(from); len(own) != 0 || len(hinted) != 2 {
			t.Fatalf("%d items run at home, %d from the hint", len(own), len(hinted))
		}
		for _, it := range b.Open(from) {
			if err := b.List(ctx, it.Home, []jobs.Outcome{{Job: it.Job, Item: it.Index, Text: []byte("x"), HandOff: it.HandOff}}); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.HandOff(ctx, from); err != nil {
			t.Fatal(err)
		}
		if left := s.For("c").Kept(jobsPart(from)); left != 0 {
			t.Fatalf("%d records of the hint are left", left)
		}
	})
}

// hintPartition returns the partition other than home that has records.
func hintPartition(s *sharedstore.Store, home int) int {
	time.Sleep(time.Second)
	for n := range manyParts {
		if n != home && s.For("x").Kept(jobsPart(n)) > 0 {
			return n
		}
	}
	return -1
}

// Symptom: results of an item that finished during the outage are gone.
// Sequence: a job is kept for its partition, which returns; the first thing that
// comes there of it is a result.
// Cause: a result of a job that its partition does not know was left out.
func TestAResultBringsItsJobAlong(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(manyParts)
		st := openMany(ctx, s.For("a"))
		home := st.PartitionOf("job")
		s.SetDown(jobsPart(home), true)
		if err := st.Accept(ctx, sent("job", 1)); err != nil {
			t.Fatal(err)
		}
		from := hintPartition(s, home)
		_ = st.Refresh(ctx, from, 0)
		open := st.Open(from)
		s.SetDown(jobsPart(home), false)
		time.Sleep(time.Second)
		it := open[0]
		if err := st.List(ctx, it.Home, []jobs.Outcome{{Job: it.Job, Item: it.Index, Text: []byte("x"), HandOff: it.HandOff}}); err != nil {
			t.Fatal(err)
		}
		if res, err := openMany(ctx, s.For("b")).Results(ctx, "job", 0, 0); err != nil || len(res.Items) != 1 {
			t.Fatalf("%+v %v", res, err)
		}
	})
}

// Symptom: each job is held for a second before it is refused, though nothing of
// the store has answered for a while.
// Cause: every job found the outage out by itself.
func TestAKnownOutageRefusesAtOnce(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(manyParts)
		st := openMany(ctx, s.For("a"))
		s.SetFault("a", sharedstore.Silent)
		_ = st.Accept(ctx, sent("first", 1)) // finds it out
		held := time.Duration(0)
		var waits []time.Duration
		for n := range 100 {
			began := time.Now()
			err := st.Accept(ctx, sent(fmt.Sprint("job", n), 1))
			held += time.Since(began)
			var away *jobstore.AwayError
			if !errors.As(err, &away) || away.ComeBack < 200*time.Millisecond {
				t.Fatalf("job %d: %v", n, err)
			}
			waits = append(waits, away.ComeBack)
			time.Sleep(50 * time.Millisecond)
		}
		if held > 30*time.Second/10 {
			t.Errorf("100 jobs were held for %s in all", held)
		}
		if slices.Max(waits) < 2*slices.Min(waits) {
			t.Errorf("times to come back are alike: %s to %s", slices.Min(waits), slices.Max(waits))
		}
		s.SetFault("a", sharedstore.None)
		time.Sleep(1500 * time.Millisecond)
		if err := st.Accept(ctx, sent("after", 1)); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

// homesMove is one step of a drawn story.
type homesMove struct {
	Kind, Node, Job, Part, Fault, Ms int
}

// The kinds of moves.
const (
	homesHostFault = iota
	homesPartFault
	homesHeal
	homesRestart
	homesSleep
	homesAccept
	homesRun
	homesHandOff
	homesRead
	homesKinds
)

func drawHomesMove(t *rapid.T) homesMove {
	return homesMove{
		Kind:  rapid.IntRange(0, homesKinds-1).Draw(t, "kind"),
		Node:  rapid.IntRange(0, 2).Draw(t, "node"),
		Job:   rapid.IntRange(0, 2).Draw(t, "job"),
		Part:  rapid.IntRange(0, manyParts-1).Draw(t, "part"),
		Fault: rapid.IntRange(0, len(faults)-1).Draw(t, "fault"),
		Ms:    rapid.IntRange(1, 1500).Draw(t, "ms"),
	}
}

// Symptom: a job that was accepted is unknown, has two contents at one position, is
// there though it was refused, or never gets done.
// Sequence: three processes take jobs in, run, hand off and read them, while parts
// of the store are away in any way, hosts are refused, and processes start anew.
// Cause: whatever breaks a promise of jobs that have two places for a while.
func TestPromisesOfTwoPlaces(t *testing.T) {
	checkStories(t, drawHomesMove, 5, 70, playHomes)
}

// homesWorld is the store, three processes before it and what was promised.
type homesWorld struct {
	store  *sharedstore.Store
	nodes  []*jobstore.Store
	oracle oracle
}

var homesHosts = []string{"a", "b", "c"}

func (w *homesWorld) restart(ctx context.Context) {
	w.nodes = nil
	for _, h := range homesHosts {
		w.nodes = append(w.nodes, openMany(ctx, w.store.For(h)))
	}
}

func (w *homesWorld) heal() {
	for _, h := range homesHosts {
		w.store.SetFault(h, sharedstore.None)
	}
	for n := range manyParts {
		w.store.SetPartitionFault(jobsPart(n), sharedstore.None)
	}
}

func playHomes(ctx context.Context, moves []homesMove) string {
	w := &homesWorld{
		store:  sharedstore.New(manyParts),
		oracle: oracle{accepted: make(map[string]time.Time), denied: make(map[string]bool), read: make(map[string]told)},
	}
	w.restart(ctx)
	for i, m := range moves {
		one, cancel := context.WithTimeout(ctx, time.Duration(m.Ms)*time.Millisecond)
		failure := w.move(ctx, one, i, m)
		cancel()
		if failure != "" {
			return fmt.Sprintf("move %d: %s", i, failure)
		}
	}
	return w.finish(ctx)
}

func (w *homesWorld) move(ctx, one context.Context, i int, m homesMove) string {
	id, node := fmt.Sprint("job", m.Job), w.nodes[m.Node]
	switch m.Kind {
	case homesHostFault:
		w.store.SetFault(homesHosts[m.Node], faults[m.Fault])
	case homesPartFault:
		w.store.SetPartitionFault(jobsPart(m.Part), faults[m.Fault])
	case homesHeal:
		w.heal()
	case homesRestart:
		w.restart(ctx)
	case homesSleep:
		time.Sleep(time.Duration(m.Ms) * time.Millisecond)
	case homesAccept:
		w.oracle.accept(id, node.Accept(one, sent(id, 3)))
	case homesRun:
		w.run(one, node, m.Part, fmt.Sprint("t", i))
	case homesHandOff:
		_ = node.HandOff(one, m.Part) // what fails is tried again
	case homesRead:
		return w.oracle.check(one, node, id)
	}
	return ""
}

// run lists one outcome of each open item that a partition's runner would run.
func (w *homesWorld) run(ctx context.Context, node *jobstore.Store, part int, text string) {
	for _, it := range node.Open(part) {
		// Whether it was listed is seen by reading.
		_ = node.List(ctx, it.Home, []jobs.Outcome{{Job: it.Job, Item: it.Index, Text: []byte(text + it.Item.GetId()), HandOff: it.HandOff}})
	}
}

// finish heals all, has everything run and checks what is there.
func (w *homesWorld) finish(ctx context.Context) string {
	w.heal()
	time.Sleep(2 * sharedstore.LateBy)
	w.restart(ctx)
	for range 3 {
		for part := range manyParts {
			_ = w.nodes[0].Refresh(ctx, part, 0) // a process reads what it is to run
			if err := w.nodes[0].HandOff(ctx, part); err != nil {
				return fmt.Sprint("at the end: not handed off: ", err)
			}
			w.run(ctx, w.nodes[0], part, "end")
		}
	}
	for i := range 3 {
		id := fmt.Sprint("job", i)
		if failure := w.oracle.check(ctx, w.nodes[1], id); failure != "" {
			return "at the end: " + failure
		}
		if failure := w.complete(ctx, id); failure != "" {
			return "at the end: " + failure
		}
	}
	return ""
}

func (w *homesWorld) complete(ctx context.Context, id string) string {
	if _, accepted := w.oracle.accepted[id]; !accepted {
		return ""
	}
	res, err := w.nodes[2].Results(ctx, id, 0, 0)
	if err != nil || len(res.Items) != 3 {
		return fmt.Sprintf("%s has %d of 3 results: %v", id, len(res.Items), err)
	}
	seen := make(map[string]bool)
	for _, it := range res.Items {
		if seen[it.ID] {
			return it.ID + " stands at two positions"
		}
		seen[it.ID] = true
	}
	return ""
}

// The partitions that may keep a job are its own and three others, the same at
// every process.
func TestPlacesOfAJobAreFixed(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(manyParts)
		for n := range manyParts {
			s.SetDown(jobsPart(n), true)
		}
		a := openMany(ctx, s.For("a"))
		var unsure *jobstore.AwayError
		if err := a.Accept(ctx, &wire.JobSpec{Id: "x"}); !errors.As(err, &unsure) || !errors.Is(err, jobstore.ErrUnsure) {
			t.Fatalf("got %v", err)
		}
	})
}

// Symptom: at the size of thousands of partitions a process follows four times as
// many as its callers ask for.
// Cause: each job that was taken in made the process follow the partitions that might
// have kept it as well.
func TestCalmAcceptancesFollowOnlyTheHome(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(manyParts)
		st := openMany(ctx, s.For("a"))
		home := st.PartitionOf("job")
		for n := range 5 {
			if err := st.Accept(ctx, sent(sameHome(st, home, n), 1)); err != nil {
				t.Fatal(err)
			}
		}
		before := s.Calls()
		time.Sleep(20 * time.Second)
		// One partition is read each eight seconds by a read that waits.
		if calls := s.Calls() - before; calls > 4 {
			t.Errorf("%d calls in twenty calm seconds", calls)
		}
	})
}

// Symptom: in a large fleet each process soon follows every partition, and its link is
// full of other processes' jobs.
// Sequence: callers read jobs at any process; the first read of a job there looked at
// the partitions that might keep it as well.
// Cause: these were looked at before the job's own partition.
func TestAFirstReadFollowsOnlyTheHome(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(manyParts)
		if err := openMany(ctx, s.For("a")).Accept(ctx, sent("job", 1)); err != nil {
			t.Fatal(err)
		}
		reader := openMany(ctx, s.For("b"))
		if _, err := reader.Results(ctx, "job", 0, 0); err != nil {
			t.Fatal(err)
		}
		if n := reader.Followed(); n != 1 {
			t.Errorf("%d partitions followed", n)
		}
	})
}

// Symptom: as above, after hours: a process follows whatever anybody ever asked it for.
// Cause: nothing ended the following.
func TestAnIdlePartitionIsLetGo(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(manyParts)
		st := openMany(ctx, s.For("a"))
		if err := st.Accept(ctx, sent("job", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if st.Followed() != 1 {
			t.Fatalf("%d followed soon after a use", st.Followed())
		}
		time.Sleep(15 * time.Second)
		if st.Followed() != 0 {
			t.Fatalf("%d followed without a use", st.Followed())
		}
		if res, err := st.Results(ctx, "job", 0, 0); err != nil || res.Total != 1 {
			t.Fatalf("read later: %+v, %v", res, err)
		}
	})
}

// Symptom: through an outage of a part of the store the body of an item is not told at
// processes that have not taken its job in.
// Sequence: the job's own partition falls silent, another one keeps the job; a caller
// asks for the body, with a second to wait, at a process that follows neither.
// Cause: the silent partition was waited for until the caller's time was over.
func TestASilentHomeDoesNotHideAHint(t *testing.T) {
	const count = 6 // their hints lie at several alternates
	for n := range count {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			s := sharedstore.New(manyParts)
			taker, other := openMany(ctx, s.For("a")), openMany(ctx, s.For("b"))
			job := sent(fmt.Sprint("job", n), 1)
			s.SetPartitionFault(jobsPart(taker.PartitionOf(job.GetId())), sharedstore.Silent)
			if err := taker.Accept(ctx, job); err != nil {
				t.Fatal(err)
			}
			ask := func() ([]byte, error) {
				one, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				return other.Body(one, job.GetId(), job.GetItems()[0].GetId())
			}
			_, _ = ask() // it may only begin to follow the partition that keeps the job
			if body, err := ask(); err != nil || string(body) != "body" {
				t.Errorf("%s: %q, %v", job.GetId(), body, err)
			}
		})
	}
}
