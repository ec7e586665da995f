package runner_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/balance"
	"pumiceford/catalog"
	"pumiceford/exchange"
	"pumiceford/fleet"
	"pumiceford/jobs"
	"pumiceford/jobstore"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/quarantine"
	"pumiceford/runner"
	"pumiceford/seats"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/targets"
	"pumiceford/wire"
)

const (
	parts  = 2
	events = 20
	step   = 100 * time.Millisecond // between events
	whole  = events * step          // of an item
	joined = 3 * time.Second        // after which members have their partitions
)

type decoder struct{}

func (decoder) CatalogKey() string { return "c" }

// Catalog returns a version with the route, or without any for "none".
func (decoder) Catalog(value []byte) (*catalog.Catalog, error) {
	if string(value) == "none" {
		return catalog.New(2, catalog.Limits{}, nil, nil), nil
	}
	r := catalog.Route{Name: "r", Host: "h", PathPrefix: "/", Kind: catalog.Batch, Attempts: 3, Shares: []catalog.Share{{Service: "s", Weight: 1}}}
	return catalog.New(1, catalog.Limits{}, nil, []catalog.Route{r}), nil
}

func (decoder) Instance(id string, _ []byte) (targets.Instance, error) {
	return targets.Instance{ID: id, Addr: id, Service: "s", Slots: 8}, nil
}

// engine runs items: one event each step. It notes every run.
type engine struct {
	mu     sync.Mutex
	starts map[string][]uint64 // by item, the events after which runs began
	to     map[string][]string // by item, the targets it was sent to
	status func(id string, n int) int
}

func (e *engine) Send(ctx context.Context, in targets.Instance, call *exchange.Call) (*exchange.Answer, error) {
	e.mu.Lock()
	n := len(e.starts[call.ID])
	e.starts[call.ID] = append(e.starts[call.ID], call.After)
	e.to[call.ID] = append(e.to[call.ID], in.ID)
	status := http.StatusOK
	if e.status != nil {
		status = e.status(call.ID, n)
	}
	e.mu.Unlock()
	if status != http.StatusOK {
		outcome := exchange.Done
		if status >= http.StatusInternalServerError {
			outcome = exchange.Failed
		}
		return &exchange.Answer{Outcome: outcome, Status: status, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	rd, wr := io.Pipe()
	go func() {
		for i := call.After + 1; i <= events; i++ {
			select {
			case <-ctx.Done():
				_ = wr.CloseWithError(ctx.Err())
				return
			case <-time.After(step):
			}
			if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", i, data(call.ID, i)); err != nil {
				return
			}
		}
		_ = wr.Close()
	}()
	return &exchange.Answer{Status: status, Body: rd, Events: true, Length: -1}, nil
}

func (e *engine) runs(id string) []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]uint64(nil), e.starts[id]...)
}

func (e *engine) sentTo(id string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.to[id]...)
}

func data(id string, n uint64) string { return fmt.Sprint(id, ".", n) }

func text(id string) string {
	var out []string
	for n := uint64(1); n <= events; n++ {
		out = append(out, data(id, n))
	}
	return strings.Join(out, "\n")
}

// plenty grants a seat whenever it is asked, and can ask all of them back.
type plenty struct {
	mu    sync.Mutex
	yield []chan struct{}
	none  bool
}

func (p *plenty) Acquire(context.Context, targets.Instance, time.Time) (*seats.Seat, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.none {
		return nil, nil
	}
	ch := make(chan struct{})
	p.yield = append(p.yield, ch)
	return seats.Granted(ch), nil
}

// askBack asks for all seats and grants none while it is told so.
func (p *plenty) askBack(none bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.none = none
	for _, ch := range p.yield {
		close(ch)
	}
	p.yield = nil
}

// node is one process that runs items.
type node struct {
	view   *fleet.View
	jobs   *jobstore.Store
	runner *runner.Runner
	seats  *slowly
	held   *quarantine.Keeper
	stop   context.CancelFunc
}

// dead is a Prober whose targets have crashed whenever a connection breaks.
type dead struct{}

func (dead) Crashed(context.Context, targets.Instance) bool { return true }

func startNode(ctx context.Context, s *sharedstore.Store, e exchange.Sender, name string) *node {
	ctx, cancel := context.WithCancel(ctx)
	ms := metrics.New(name)
	view := fleet.NewView(decoder{}, 1, logging.Logger{}, ms)
	view.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("1")}})
	view.TargetSink().Reset([]store.Record{{Key: "i0", Value: []byte("1")}})
	go tellLoads(ctx, view)
	face := s.For(name)
	n := &node{view: view, stop: cancel, seats: &slowly{meanwhile: func(targets.Instance) {}}}
	n.held = quarantine.NewKeeper(quarantine.Config{Prober: dead{}, Metrics: ms})
	n.jobs = openJobs(ctx, face)
	n.runner = runner.New(runner.Config{
		Member: name, Group: "g", Store: n.jobs, Groups: face, View: view, Sender: e, Seats: n.seats,
		Quarantine: n.held,
		Metrics:    ms, Headers: func(map[string]string) map[string][]string { return nil }, MaxRunning: 64,
	})
	go n.runner.Run(ctx)
	return n
}

func openJobs(ctx context.Context, log store.Log) *jobstore.Store {
	return jobstore.New(ctx, log, jobstore.Settings{Topic: "jobs", ProgressTopic: "progress", Partitions: parts, CallBytes: 2 << 20, Keep: time.Minute}, logging.Logger{})
}

// tellLoads is the word of the agents beside the targets.
func tellLoads(ctx context.Context, view *fleet.View) {
	for ctx.Err() == nil {
		for _, in := range view.Instances() {
			view.Table(func(t *balance.Table) { t.Note(time.Now(), in.ID, balance.Report{Slots: 8, Room: 8}) })
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func spec(id string, items int) *wire.JobSpec {
	now := time.Now()
	s := &wire.JobSpec{Id: id, Host: "h", Path: "/", AcceptedUnixMs: now.UnixMilli(), DueUnixMs: now.Add(time.Minute).UnixMilli(), AbandonUnixMs: now.Add(time.Hour).UnixMilli()}
	for i := range items {
		s.Items = append(s.Items, &wire.JobItem{Id: fmt.Sprint(id, "-", i), Path: "/x"})
	}
	return s
}

func bubble(t *testing.T, fn func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // whatever still waits sees the end
			synctest.Wait()
		}()
		fn(ctx, t, sharedstore.New(parts), &engine{starts: make(map[string][]uint64), to: make(map[string][]string)})
	})
}

func accept(ctx context.Context, t *testing.T, n *node, id string, items int) {
	t.Helper()
	if err := n.jobs.Accept(ctx, spec(id, items)); err != nil {
		t.Fatal(err)
	}
}

// finished checks that all items of a job are listed once with their whole text.
func finished(ctx context.Context, t *testing.T, n *node, id string, items int) {
	t.Helper()
	res, err := n.jobs.Results(ctx, id, 0, 0)
	if err != nil || len(res.Items) != items {
		t.Fatalf("%d of %d results, %v", len(res.Items), items, err)
	}
	for _, it := range res.Items {
		if it.Dead || string(it.Text) != text(it.ID) {
			t.Fatalf("item %s: dead %v, text %q", it.ID, it.Dead, it.Text)
		}
	}
}

// Symptom: an item that is done runs once more.
// Sequence: its run ends; the dispatcher looks before its outcome is noted.
// Cause: the end of a run and its outcome were two steps.
func TestItemsRunOnce(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a, b := startNode(ctx, s, e, "a"), startNode(ctx, s, e, "b")
		time.Sleep(joined)
		for n := range 4 {
			accept(ctx, t, a, fmt.Sprint("job", n), 3)
		}
		time.Sleep(2 * whole)
		for n := range 4 {
			finished(ctx, t, b, fmt.Sprint("job", n), 3)
			for i := range 3 {
				if runs := e.runs(fmt.Sprint("job", n, "-", i)); len(runs) != 1 {
					t.Errorf("item ran %d times", len(runs))
				}
			}
		}
	})
}

// Symptom: an item that gave its seat up starts anew, and never ends while peaks
// come faster than it runs.
// Cause: what it had produced was thrown away.
func TestAnItemResumesAfterItsSeatWasAskedBack(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(3 * time.Second)
		accept(ctx, t, a, "job", 1)
		time.Sleep(whole / 2)
		a.seats.askBack(true)
		time.Sleep(time.Second)
		if runs := e.runs("job-0"); len(runs) != 1 {
			t.Fatalf("ran %d times without a seat", len(runs))
		}
		a.seats.askBack(false)
		time.Sleep(2 * whole)
		finished(ctx, t, a, "job", 1)
		if runs := e.runs("job-0"); len(runs) != 2 || runs[1] == 0 {
			t.Fatalf("runs began after events %v", runs)
		}
	})
}

// Symptom: items of a stopped process wait for its time to run out, or start anew.
// Cause: they were not handed over.
func TestALeavingProcessHandsOver(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(3 * time.Second)
		accept(ctx, t, a, "job", 2)
		time.Sleep(whole / 2)
		b := startNode(ctx, s, e, "b")
		a.runner.Leave(ctx)
		a.stop()
		time.Sleep(2 * whole)
		finished(ctx, t, b, "job", 2)
		for i := range 2 {
			if runs := e.runs(fmt.Sprint("job-", i)); len(runs) != 2 || runs[1] == 0 {
				t.Errorf("item %d: runs began after events %v", i, runs)
			}
		}
	})
}

// Symptom: items run twice at each restart of an entry.
// Sequence: a member comes; partitions move to it while their items run.
// Cause: the old runner went on beside the new one.
func TestAMovedPartitionIsNotRunTwice(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(joined)
		for n := range 4 {
			accept(ctx, t, a, fmt.Sprint("job", n), 1)
		}
		time.Sleep(whole / 4)
		b := startNode(ctx, s, e, "b")
		time.Sleep(4 * whole)
		for n := range 4 {
			finished(ctx, t, b, fmt.Sprint("job", n), 1)
			fromStart := 0
			for _, after := range e.runs(fmt.Sprint("job", n, "-0")) {
				if after == 0 {
					fromStart++
				}
			}
			if fromStart != 1 {
				t.Errorf("job%d started from nothing %d times", n, fromStart)
			}
		}
	})
}

// Symptom: half of the slots idle through an outage of the store, and items late.
// Sequence: jobs were accepted; the store is down for six seconds.
// Cause: nothing was started without a fresh look at the store.
func TestItemsGoOnThroughAnOutage(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(3 * time.Second)
		a.seats.askBack(true) // no seat is free yet
		accept(ctx, t, a, "job", 3)
		s.SetFault("a", sharedstore.Refuse)
		time.Sleep(3 * time.Second)
		a.seats.askBack(false)
		time.Sleep(2 * whole)
		for i := range 3 {
			if runs := e.runs(fmt.Sprint("job-", i)); len(runs) != 1 {
				t.Fatalf("item %d ran %d times in the outage", i, len(runs))
			}
		}
		s.SetFault("a", sharedstore.None)
		time.Sleep(5 * time.Second)
		finished(ctx, t, a, "job", 3)
	})
}

// Symptom: items run on after their job was ended.
func TestAnEndedJobStops(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a, b := startNode(ctx, s, e, "a"), startNode(ctx, s, e, "b")
		time.Sleep(3 * time.Second)
		a.seats.askBack(true)
		b.seats.askBack(true)
		accept(ctx, t, a, "job", 3)
		if err := b.jobs.End(ctx, "job"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		a.seats.askBack(false)
		b.seats.askBack(false)
		time.Sleep(3 * time.Second)
		for i := range 3 {
			if runs := e.runs(fmt.Sprint("job-", i)); len(runs) != 0 {
				t.Errorf("item %d ran %d times after the end", i, len(runs))
			}
		}
	})
}

// Symptom: items start after their job's end was told, for as long as a
// connection stays silent.
// Sequence: the read that follows the partition goes silent; the job is ended
// elsewhere; a seat is free.
// Cause: what was known of the job was taken for current.
func TestNothingStartsOnOldKnowledge(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(joined)
		a.seats.askBack(true)
		accept(ctx, t, a, "job", 3)
		time.Sleep(time.Second)
		s.SetFault("a", sharedstore.Silent)
		synctest.Wait()
		s.SetFault("a", sharedstore.None) // new connections work
		other := jobstore.New(ctx, s.For("b"), jobstore.Settings{Topic: "jobs", Partitions: parts, CallBytes: 2 << 20, Keep: time.Minute}, logging.Logger{})
		if err := other.End(ctx, "job"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1600 * time.Millisecond) // longer than knowledge may be old
		a.seats.askBack(false)
		time.Sleep(whole)
		for i := range 3 {
			if runs := e.runs(fmt.Sprint("job-", i)); len(runs) != 0 {
				t.Errorf("item %d ran %d times after the end", i, len(runs))
			}
		}
	})
}

// Symptom: one hopeless item holds its job open, or its neighbours.
func TestHopelessItemsAreGivenUp(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		e.status = func(id string, _ int) int {
			switch id {
			case "job-0":
				return http.StatusInternalServerError
			case "job-1":
				return http.StatusUnprocessableEntity
			}
			return http.StatusOK
		}
		a := startNode(ctx, s, e, "a")
		time.Sleep(3 * time.Second)
		accept(ctx, t, a, "job", 3)
		time.Sleep(8 * time.Second)
		res, err := a.jobs.Results(ctx, "job", 0, 0)
		if err != nil || len(res.Items) != 3 {
			t.Fatalf("%d results, %v", len(res.Items), err)
		}
		for _, it := range res.Items {
			if dead := it.ID != "job-2"; it.Dead != dead {
				t.Errorf("%s dead %v", it.ID, it.Dead)
			}
		}
		if n, m := len(e.runs("job-0")), len(e.runs("job-1")); n != 3 || m != 1 {
			t.Errorf("the failing item ran %d times, the impossible one %d", n, m)
		}
	})
}

// Symptom: a job stays open for good after its route was removed.
// Cause: its items had no service to run at, and were neither run nor given up.
func TestItemsWithoutARouteAreGivenUp(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(joined)
		a.view.CatalogSink().Apply(store.Record{Key: "c", Value: []byte("none")})
		accept(ctx, t, a, "job", 1)
		time.Sleep(4 * time.Second)
		if res, err := a.jobs.Results(ctx, "job", 0, 0); err != nil || len(res.Items) != 0 {
			t.Fatalf("given up at once: %v %v", res, err)
		}
		time.Sleep(4 * time.Second)
		if res, err := a.jobs.Results(ctx, "job", 0, 0); err != nil || len(res.Items) != 1 || !res.Items[0].Dead {
			t.Fatalf("still open: %v %v", res, err)
		}
	})
}

// Symptom: a killed runner's items are never done, or its attempts do not count.
func TestAKilledRunnerIsReplaced(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(3 * time.Second)
		accept(ctx, t, a, "job", 3)
		time.Sleep(whole / 4)
		a.stop()
		b := startNode(ctx, s, e, "b")
		time.Sleep(10 * time.Second)
		finished(ctx, t, b, "job", 3)
	})
}

var errTest = errors.New("test")

// An engine that cuts each run off after some events still gets items done.
func TestCutRunsAddUp(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, &cutting{engine: e}, "a")
		time.Sleep(3 * time.Second)
		accept(ctx, t, a, "job", 2)
		time.Sleep(10 * time.Second)
		finished(ctx, t, a, "job", 2)
	})
}

// cutting is an engine whose streams break inside an event.
type cutting struct{ *engine }

func (c *cutting) Send(ctx context.Context, to targets.Instance, call *exchange.Call) (*exchange.Answer, error) {
	ans, err := c.engine.Send(ctx, to, call)
	if err == nil && call.After+5 < events {
		ans.Body = cutBody{io.MultiReader(io.LimitReader(ans.Body, 150), broken{}), ans.Body}
	}
	return ans, err
}

type cutBody struct {
	io.Reader
	io.Closer
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errTest }

// failingAt is a sender one of whose targets answers everything with a failure.
type failingAt struct {
	*engine
	instance string
}

func (f *failingAt) Send(ctx context.Context, to targets.Instance, call *exchange.Call) (*exchange.Answer, error) {
	if to.ID == f.instance {
		return &exchange.Answer{Outcome: exchange.Failed, Status: http.StatusInternalServerError, Body: http.NoBody}, nil
	}
	return f.engine.Send(ctx, to, call)
}

// Symptom: items that nothing is wrong with are given up as failed too often.
// Sequence: one of four targets fails everything at once; it always has seats free,
// so it is asked first, and again for the second and third attempt.
// Cause: an item went back to where it had failed.
func TestAnItemThatFailedGoesElsewhere(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, &failingAt{e, "i0"}, "a")
		a.view.TargetSink().Reset([]store.Record{
			{Key: "i0", Value: []byte("1")}, {Key: "i1", Value: []byte("2")}, {Key: "i2", Value: []byte("3")}, {Key: "i3", Value: []byte("4")},
		})
		time.Sleep(3 * time.Second)
		const items = 40
		accept(ctx, t, a, "job", items)
		time.Sleep(20 * time.Second)
		res, err := a.jobs.Results(ctx, "job", 0, 0)
		if err != nil || len(res.Items) != items {
			t.Fatalf("%d results, %v", len(res.Items), err)
		}
		for _, it := range res.Items {
			if it.Dead {
				t.Errorf("%s was given up", it.ID)
			}
		}
	})
}

// Symptom: all batch work nearly stops while one partition of the store is silent.
// Sequence: a process runs two partitions; one falls silent; its items are started on
// what was known, and items of the other one come.
// Cause: for each item the silent partition was asked anew, for a second, and all
// others waited behind it.
func TestASilentPartitionDoesNotHoldUpTheOthers(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		time.Sleep(3 * time.Second)
		quiet, other := "job", "job"
		for n := 0; a.jobs.PartitionOf(other) == a.jobs.PartitionOf(quiet); n++ {
			other = fmt.Sprint("job", n)
		}
		const items = 20
		a.seats.askBack(true) // none starts yet
		accept(ctx, t, a, quiet, items)
		s.SetPartitionFault(store.Partition{Topic: "jobs", Number: a.jobs.PartitionOf(quiet)}, sharedstore.Silent)
		time.Sleep(2 * time.Second)
		a.seats.askBack(false)
		accept(ctx, t, a, other, items)
		time.Sleep(6 * time.Second)
		finished(ctx, t, a, other, items)
	})
}

// Symptom: an item that fails at each run has more attempts than its route allows, or
// items run twice.
// Sequence: a job's own partition answers late; a hint of it is written to another
// partition as well, and its runner sees the hint before the job.
// Cause: items were run from the hint though their own partition answered.
func TestAHintOfAJobThatIsAtItsPartitionIsNotRun(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, s *sharedstore.Store, e *engine) {
		a := startNode(ctx, s, e, "a")
		startNode(ctx, s, e, "c") // each has every second partition
		time.Sleep(4 * time.Second)
		job := spec("job", 4)
		recs, err := jobs.HintRecords(job)
		if err != nil {
			t.Fatal(err)
		}
		other := store.Partition{Topic: "jobs", Number: (a.jobs.PartitionOf("job") + 1) % parts}
		if _, err := s.For("b").Append(ctx, other, recs, store.AnyEnd); err != nil {
			t.Fatal(err)
		}
		time.Sleep(150 * time.Millisecond)
		if err := openJobs(ctx, s.For("b")).Accept(ctx, job); err != nil {
			t.Fatal(err)
		}
		time.Sleep(8 * time.Second)
		finished(ctx, t, a, "job", 4)
		for _, it := range job.GetItems() {
			if n := len(e.runs(it.GetId())); n != 1 {
				t.Errorf("%s ran %d times", it.GetId(), n)
			}
		}
	})
}
