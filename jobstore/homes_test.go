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

// partitionCount is the number of partitions in these tests.
const partitionCount = 6

func openMany(ctx context.Context, log store.Log) *jobstore.Store {
	return jobstore.New(ctx, log, jobstore.Settings{
		Topic: topic, ProgressTopic: "progress", Partitions: partitionCount, MaxAppendBytes: 2 << 20, Retention: time.Minute,
	}, logging.Logger{})
}

// specSentNow returns a job that is accepted at the current time.
func specSentNow(id string, items int) *wire.JobSpec {
	s := spec(id, items)
	s.AcceptedUnixMs = time.Now().UnixMilli()
	return s
}

func jobsPart(n int) store.Partition { return store.Partition{Topic: topic, Number: n} }

// outageFaults are the faults that make a partition unavailable.
var outageFaults = []sharedstore.Fault{sharedstore.Refuse, sharedstore.NoResponse, sharedstore.LoseResponse, sharedstore.ApplyLate}

// Guards against a third of all jobs being refused while a third of the store's partitions
// is unavailable. The home of a job is unresponsive; another partition must accept the job.
func TestJobIsAcceptedWhileItsPartitionIsUnavailable(t *testing.T) {
	for _, fault := range outageFaults {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			s := sharedstore.New(partitionCount)
			st := openMany(ctx, s.ClientFor("a"))
			home := st.PartitionOf("job")
			_, _ = st.Results(ctx, "job", 0, 0) // load the partitions
			s.SetPartitionFault(jobsPart(home), fault)
			for n := range 3 {
				id := idWithHome(st, home, n)
				began := time.Now()
				if err := st.Accept(ctx, specSentNow(id, 2)); err != nil || time.Since(began) > 400*time.Millisecond {
					t.Errorf("fault %d, job %d: Accept returned %v after %s, want nil within 400ms", fault, n, err, time.Since(began))
				}
				if body, err := openMany(ctx, s.ClientFor("b")).Body(ctx, id, id+"0"); string(body) != "body" && !errors.Is(err, jobstore.ErrStoreUnavailable) {
					t.Errorf("fault %d: got body %q and error %v", fault, body, err)
				}
			}
		})
	}
}

// idWithHome returns the id of the n-th job whose home is the given partition.
func idWithHome(st *jobstore.Store, home, n int) string {
	for i := 0; ; i++ {
		id := fmt.Sprint("job", n, "-", i)
		if st.PartitionOf(id) == home {
			return id
		}
	}
}

// Guards against a job that was accepted during an outage and is unknown afterwards, or whose
// items are run by two processes permanently. The home responds again, and a read comes
// before the hand-off. Reads must find the hint, and only the hint's partition may run the
// items.
func TestHintIsHandedOffAndRunFromOnePartition(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		a, b := openMany(ctx, s.ClientFor("a")), openMany(ctx, s.ClientFor("b"))
		home := a.PartitionOf("job")
		s.SetPartitionDown(jobsPart(home), true)
		if err := a.Accept(ctx, specSentNow("job", 2)); err != nil {
			t.Fatal(err)
		}
		hintPart := hintPartition(s, home)
		_ = b.Refresh(ctx, hintPart, 0)
		if got, _ := b.OpenItems(hintPart); len(got) != 2 || got[0].Home != home || got[0].HandOff == nil {
			t.Fatalf("open items while the home is down: %+v, want 2 with a hand-off", got)
		}
		s.SetPartitionDown(jobsPart(home), false)
		time.Sleep(time.Second)
		if res, err := b.Results(ctx, "job", 0, 0); err != nil || res.Total != 2 {
			t.Fatalf("got results %+v and error %v, want a total of 2", res, err)
		}
		own, _ := b.OpenItems(home)
		hinted, _ := b.OpenItems(hintPart)
		if len(own) != 0 || len(hinted) != 2 {
			t.Fatalf("home runs %d items and hint runs %d, want 0 and 2", len(own), len(hinted))
		}
		for _, it := range hinted {
			if err := b.RecordOutcomes(ctx, it.Home, []jobs.Outcome{{Job: it.Job, Item: it.Index, Text: []byte("x"), HandOff: it.HandOff}}); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.HandOff(ctx, hintPart); err != nil {
			t.Fatal(err)
		}
		if left := s.ClientFor("c").KeyCount(jobsPart(hintPart)); left != 0 {
			t.Fatalf("%d records of the hint are left, want 0", left)
		}
	})
}

// Guards against a job that is reported as accepted although another job with its id is kept as
// a hint, so that it never runs.
func TestHintOfOtherJobIsAConflict(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		st := openMany(ctx, s.ClientFor("a"))
		home := st.PartitionOf("job")
		s.SetPartitionDown(jobsPart(home), true)
		first := specSentNow("job", 2)
		if err := st.Accept(ctx, first); err != nil {
			t.Fatal(err)
		}
		_ = st.Refresh(ctx, hintPartition(s, home), 0) // follow the partition with the hint
		if err := st.Accept(ctx, first); err != nil {
			t.Errorf("same job again: %v", err)
		}
		if err := st.Accept(ctx, specSentNow("job", 3)); !errors.Is(err, jobstore.ErrJobConflict) {
			t.Errorf("other job with the same id: got %v, want ErrJobConflict", err)
		}
	})
}

// hintPartition returns the partition other than home that has records, or -1 if none has.
func hintPartition(s *sharedstore.Store, home int) int {
	time.Sleep(time.Second)
	for n := range partitionCount {
		if n != home && s.ClientFor("x").KeyCount(jobsPart(n)) > 0 {
			return n
		}
	}
	return -1
}

// Guards against a lost result of an item that finished during an outage. After the outage
// the result reaches the home before the job itself. The append of the result must then also
// store the job.
func TestResultCarriesItsJob(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		st := openMany(ctx, s.ClientFor("a"))
		home := st.PartitionOf("job")
		s.SetPartitionDown(jobsPart(home), true)
		if err := st.Accept(ctx, specSentNow("job", 1)); err != nil {
			t.Fatal(err)
		}
		hintPart := hintPartition(s, home)
		_ = st.Refresh(ctx, hintPart, 0)
		open, _ := st.OpenItems(hintPart)
		s.SetPartitionDown(jobsPart(home), false)
		time.Sleep(time.Second)
		it := open[0]
		if err := st.RecordOutcomes(ctx, it.Home, []jobs.Outcome{{Job: it.Job, Item: it.Index, Text: []byte("x"), HandOff: it.HandOff}}); err != nil {
			t.Fatal(err)
		}
		if res, err := openMany(ctx, s.ClientFor("b")).Results(ctx, "job", 0, 0); err != nil || len(res.Items) != 1 {
			t.Fatalf("got results %+v and error %v, want 1 item", res, err)
		}
	})
}

// Guards against each job waiting a second before it is refused although the store has been
// unresponsive for some time. One job detects the outage; later jobs must be refused at once.
func TestKnownOutageRefusesImmediately(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		st := openMany(ctx, s.ClientFor("a"))
		s.SetFault("a", sharedstore.NoResponse)
		_ = st.Accept(ctx, specSentNow("first", 1)) // detects the outage
		waited := time.Duration(0)
		var delays []time.Duration
		for n := range 100 {
			began := time.Now()
			err := st.Accept(ctx, specSentNow(fmt.Sprint("job", n), 1))
			waited += time.Since(began)
			var unavailable *jobstore.UnavailableError
			if !errors.As(err, &unavailable) || unavailable.RetryAfter < 200*time.Millisecond {
				t.Fatalf("job %d: got %v, want a retry-after of at least 200ms", n, err)
			}
			delays = append(delays, unavailable.RetryAfter)
			time.Sleep(50 * time.Millisecond)
		}
		if waited > 30*time.Second/10 {
			t.Errorf("100 jobs waited for %s in total, want at most 3s", waited)
		}
		if slices.Max(delays) < 2*slices.Min(delays) {
			t.Errorf("retry-after times are not spread: %s to %s", slices.Min(delays), slices.Max(delays))
		}
		s.SetFault("a", sharedstore.NoFault)
		time.Sleep(1500 * time.Millisecond)
		if err := st.Accept(ctx, specSentNow("after", 1)); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

// hintMove is one randomly drawn step of a test run with hints.
type hintMove struct {
	Kind, Node, Job, Part, Fault, Ms int
}

// The kinds of moves.
const (
	hintHostFault = iota
	hintPartitionFault
	hintClearFaults
	hintRestart
	hintSleep
	hintAccept
	hintRun
	hintHandOff
	hintRead
	hintKinds
)

func drawHintMove(t *rapid.T) hintMove {
	return hintMove{
		Kind:  rapid.IntRange(0, hintKinds-1).Draw(t, "kind"),
		Node:  rapid.IntRange(0, 2).Draw(t, "node"),
		Job:   rapid.IntRange(0, 2).Draw(t, "job"),
		Part:  rapid.IntRange(0, partitionCount-1).Draw(t, "part"),
		Fault: rapid.IntRange(0, len(faults)-1).Draw(t, "fault"),
		Ms:    rapid.IntRange(1, 1500).Draw(t, "ms"),
	}
}

// Guards against an accepted job that is unknown or never completes, a position with two
// different results, and a refused job that exists, while a job may be in its home and in a
// hint at once. Three processes accept, run, hand off and read jobs while partitions and
// hosts have any of the faults and processes restart.
func TestGuaranteesWithHintsUnderRandomFaults(t *testing.T) {
	checkMoves(t, drawHintMove, 5, 70, playHintMoves)
}

// hintSim simulates three processes on one store and checks their responses with an oracle.
type hintSim struct {
	store  *sharedstore.Store
	nodes  []*jobstore.Store
	oracle oracle
}

var simHosts = []string{"a", "b", "c"}

func (sim *hintSim) restart(ctx context.Context) {
	sim.nodes = nil
	for _, h := range simHosts {
		sim.nodes = append(sim.nodes, openMany(ctx, sim.store.ClientFor(h)))
	}
}

func (sim *hintSim) clearFaults() {
	for _, h := range simHosts {
		sim.store.SetFault(h, sharedstore.NoFault)
	}
	for n := range partitionCount {
		sim.store.SetPartitionFault(jobsPart(n), sharedstore.NoFault)
	}
}

func playHintMoves(ctx context.Context, moves []hintMove) string {
	sim := &hintSim{
		store:  sharedstore.New(partitionCount),
		oracle: oracle{accepted: make(map[string]time.Time), denied: make(map[string]bool), read: make(map[string]readResult)},
	}
	sim.restart(ctx)
	for i, m := range moves {
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(m.Ms)*time.Millisecond)
		failure := sim.apply(ctx, callCtx, i, m)
		cancel()
		if failure != "" {
			return fmt.Sprintf("move %d: %s", i, failure)
		}
	}
	return sim.finish(ctx)
}

func (sim *hintSim) apply(ctx, callCtx context.Context, i int, m hintMove) string {
	id, node := fmt.Sprint("job", m.Job), sim.nodes[m.Node]
	switch m.Kind {
	case hintHostFault:
		sim.store.SetFault(simHosts[m.Node], faults[m.Fault])
	case hintPartitionFault:
		sim.store.SetPartitionFault(jobsPart(m.Part), faults[m.Fault])
	case hintClearFaults:
		sim.clearFaults()
	case hintRestart:
		sim.restart(ctx)
	case hintSleep:
		time.Sleep(time.Duration(m.Ms) * time.Millisecond)
	case hintAccept:
		sim.oracle.accept(id, node.Accept(callCtx, specSentNow(id, 3)))
	case hintRun:
		sim.run(callCtx, node, m.Part, fmt.Sprint("t", i))
	case hintHandOff:
		_ = node.HandOff(callCtx, m.Part) // later moves repeat a failed hand-off
	case hintRead:
		return sim.oracle.check(callCtx, node, id)
	}
	return ""
}

// run lists an outcome for each open item that a partition's runner would run.
func (sim *hintSim) run(ctx context.Context, node *jobstore.Store, part int, text string) {
	open, _ := node.OpenItems(part)
	for _, it := range open {
		// A later read shows whether the result was listed.
		_ = node.RecordOutcomes(ctx, it.Home, []jobs.Outcome{{Job: it.Job, Item: it.Index, Text: []byte(text + it.Item.GetId()), HandOff: it.HandOff}})
	}
}

// finish clears all faults, runs all open items and checks that every accepted job is
// complete.
func (sim *hintSim) finish(ctx context.Context) string {
	sim.clearFaults()
	time.Sleep(2 * sharedstore.LateDelay)
	sim.restart(ctx)
	for range 3 {
		for part := range partitionCount {
			_ = sim.nodes[0].Refresh(ctx, part, 0) // a runner reads its partition before it runs items
			if err := sim.nodes[0].HandOff(ctx, part); err != nil {
				return fmt.Sprint("at the end: hand-off failed: ", err)
			}
			sim.run(ctx, sim.nodes[0], part, "end")
		}
	}
	for i := range 3 {
		id := fmt.Sprint("job", i)
		if failure := sim.oracle.check(ctx, sim.nodes[1], id); failure != "" {
			return "at the end: " + failure
		}
		if failure := sim.checkComplete(ctx, id); failure != "" {
			return "at the end: " + failure
		}
	}
	return ""
}

func (sim *hintSim) checkComplete(ctx context.Context, id string) string {
	if _, accepted := sim.oracle.accepted[id]; !accepted {
		return ""
	}
	res, err := sim.nodes[2].Results(ctx, id, 0, 0)
	if err != nil || len(res.Items) != 3 {
		return fmt.Sprintf("%s has %d of 3 results, error %v", id, len(res.Items), err)
	}
	seen := make(map[string]bool)
	for _, it := range res.Items {
		if seen[it.ID] {
			return it.ID + " is listed at two positions"
		}
		seen[it.ID] = true
	}
	return ""
}

// Checks that a job is refused as not written, with a retry-after, while all partitions are
// down. Only the home and its three alternates, the same at every process, may accept a job.
func TestAcceptFailsWhenAllCandidatesAreDown(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		for n := range partitionCount {
			s.SetPartitionDown(jobsPart(n), true)
		}
		a := openMany(ctx, s.ClientFor("a"))
		var unavailable *jobstore.UnavailableError
		if err := a.Accept(ctx, &wire.JobSpec{Id: "x"}); !errors.As(err, &unavailable) || !errors.Is(err, jobstore.ErrStoreUnavailable) {
			t.Fatalf("got %v, want a refusal that nothing was written, with a retry-after", err)
		}
	})
}

// Guards against a process that follows four times as many partitions as its callers use,
// which matters with thousands of partitions: accepting a job must not follow the job's
// alternates.
func TestAcceptFollowsOnlyTheHome(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		st := openMany(ctx, s.ClientFor("a"))
		home := st.PartitionOf("job")
		for n := range 5 {
			if err := st.Accept(ctx, specSentNow(idWithHome(st, home, n), 1)); err != nil {
				t.Fatal(err)
			}
		}
		before := s.CallCount()
		time.Sleep(20 * time.Second)
		// One followed partition takes one long-poll read every 8 s.
		if calls := s.CallCount() - before; calls > 4 {
			t.Errorf("%d calls in 20 s without requests, want at most 4", calls)
		}
	})
}

// Guards against every process of a large fleet following every partition, which fills its
// link with other processes' jobs. Callers read jobs at any process; the first read of a job
// must not follow the alternates if the home has the job.
func TestFirstReadFollowsOnlyTheHome(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		if err := openMany(ctx, s.ClientFor("a")).Accept(ctx, specSentNow("job", 1)); err != nil {
			t.Fatal(err)
		}
		reader := openMany(ctx, s.ClientFor("b"))
		if _, err := reader.Results(ctx, "job", 0, 0); err != nil {
			t.Fatal(err)
		}
		if n := reader.FollowedPartitions(); n != 1 {
			t.Errorf("%d partitions followed, want 1", n)
		}
	})
}

// Guards against a process that, after hours, follows every partition that a caller ever
// used: a partition must be unfollowed once it is idle.
func TestIdlePartitionIsUnfollowed(t *testing.T) {
	inBubble(t, func(ctx context.Context, t *testing.T) {
		s := sharedstore.New(partitionCount)
		st := openMany(ctx, s.ClientFor("a"))
		if err := st.Accept(ctx, specSentNow("job", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if st.FollowedPartitions() != 1 {
			t.Fatalf("%d partitions followed 10 s after a use, want 1", st.FollowedPartitions())
		}
		time.Sleep(15 * time.Second)
		if st.FollowedPartitions() != 0 {
			t.Fatalf("%d partitions followed 25 s after the last use, want 0", st.FollowedPartitions())
		}
		if res, err := st.Results(ctx, "job", 0, 0); err != nil || res.Total != 1 {
			t.Fatalf("read after unfollowing: got %+v and error %v, want a total of 1", res, err)
		}
	})
}

// Guards against a body that cannot be read during a partial outage at processes that did not
// accept the job. The home is unresponsive and an alternate keeps the job; a caller requests
// the body, with a deadline of one second, from a process that follows neither. The read of
// the home must not use up the whole deadline.
func TestUnresponsiveHomeDoesNotHideHint(t *testing.T) {
	const count = 6 // enough jobs that their hints are in several alternates
	for n := range count {
		inBubble(t, func(ctx context.Context, t *testing.T) {
			s := sharedstore.New(partitionCount)
			accepter, reader := openMany(ctx, s.ClientFor("a")), openMany(ctx, s.ClientFor("b"))
			job := specSentNow(fmt.Sprint("job", n), 1)
			s.SetPartitionFault(jobsPart(accepter.PartitionOf(job.GetId())), sharedstore.NoResponse)
			if err := accepter.Accept(ctx, job); err != nil {
				t.Fatal(err)
			}
			readBody := func() ([]byte, error) {
				callCtx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				return reader.Body(callCtx, job.GetId(), job.GetItems()[0].GetId())
			}
			_, _ = readBody() // the first call may only start following the alternate
			if body, err := readBody(); err != nil || string(body) != "body" {
				t.Errorf("%s: got body %q and error %v", job.GetId(), body, err)
			}
		})
	}
}
