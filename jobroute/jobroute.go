// Package jobroute passes a caller's call about a job on to the process that runs the
// job's partition, which has its state in memory.
//
// Every process can answer such a call by itself, by following the partition on the
// shared store. With callers that come to any process, all processes then come to
// follow all partitions, and each result is read as often as there are processes.
// So the state of a partition is asked for where it is. When the process that runs it does
// not answer, its backup is asked: one other process, the same for all. Only when that
// does not answer either is the partition followed here. Who runs it comes from the
// store's group and may be wrong: whoever is asked answers from the partition itself,
// never from its role.
package jobroute

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/jobstore"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/routing"
	"pumiceford/store"
	"pumiceford/wire"
)

// Service answers calls about jobs. Its errors are those of jobstore.
type Service interface {
	// Accept takes a job in.
	Accept(ctx context.Context, spec *wire.JobSpec) error
	// Results returns results from a position on, waiting for one when there is none.
	Results(ctx context.Context, id string, from int, wait time.Duration) (jobstore.Results, error)
	// Body returns the body of an item that is not listed yet.
	Body(ctx context.Context, id, item string) ([]byte, error)
	// End ends a job.
	End(ctx context.Context, id string) error
}

// Local is the Service of this process alone.
type Local interface {
	Service
	// Has reports whether a job is known without asking the shared store.
	Has(id string) bool
	// Unavailable returns the error for a call that is refused while the store is away.
	Unavailable() error
}

// Remote carries a call out at another process.
type Remote interface {
	// Call fails with a link.DialError when the call was never sent.
	Call(ctx context.Context, addr string, call *wire.JobCall) (*wire.JobReply, error)
}

// Bounds of calls to other processes.
const (
	// answerWithin bounds a call beyond the time that it waits for results. It takes
	// some 10 ms, 100 for a job that is taken in while two processes race for the
	// partition's end. What is left of a caller's half second is enough to answer here.
	answerWithin = 300 * time.Millisecond
	// avoidFor is how long a process that did not answer is not asked again: the group
	// takes 1.6 s to give its partitions to others.
	avoidFor = 2 * time.Second
)

// Config says what a Router works with.
type Config struct {
	Self        string // address of this process in the group
	Local       Local
	StoreAway   func() bool // whether this process reaches the store by no way
	PartitionOf func(job string) int
	Remote      Remote
	Log         logging.Logger
	Metrics     *metrics.Set
}

// Router is a Service that asks the process that runs a job's partition first.
type Router struct {
	cfg Config

	mu     sync.Mutex
	owners map[int]string // address of the process that runs a partition
	// members are all of these addresses, each once.
	members []string
	avoid   map[string]time.Time // processes that are not asked until then
}

// New returns a Router that knows of no other process.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, owners: make(map[int]string), avoid: make(map[string]time.Time)}
}

// SetOwners takes who runs the partitions of a topic.
func (r *Router) SetOwners(topic string, all []store.Owner) {
	owners := make(map[int]string)
	for _, o := range all {
		if o.Partition.Topic == topic {
			owners[o.Partition.Number] = o.Member
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners, r.members = owners, slices.Compact(slices.Sorted(maps.Values(owners)))
	for addr, until := range r.avoid {
		if !time.Now().Before(until) {
			delete(r.avoid, addr)
		}
	}
}

// whom returns the processes to ask for a job, in order: the one that runs its partition,
// and its backup, the same for all that ask. So when a runner is gone
// one process more follows its partition, and not each that is asked for its jobs. mine
// says that this process is one of the two, or that it knows of no backup.
func (r *Router) whom(job string) (addrs []string, mine bool) {
	part := r.cfg.PartitionOf(job)
	r.mu.Lock()
	defer r.mu.Unlock()
	owner := r.owners[part]
	if owner == r.cfg.Self {
		return nil, true
	}
	now := time.Now()
	usable := func(addr string) bool { return !now.Before(r.avoid[addr]) }
	if owner != "" && usable(owner) {
		addrs = append(addrs, owner)
	}
	var others []string
	for _, addr := range r.members {
		if addr != owner && usable(addr) {
			others = append(others, addr)
		}
	}
	if len(others) == 0 {
		return addrs, true
	}
	backup := routing.Top(others, uint64(part), 1)[0]
	if backup == r.cfg.Self {
		return addrs, true
	}
	return append(addrs, backup), false
}

// errDeclined says that the process that was asked cannot reach the store itself.
var errDeclined = errors.New("asked process does not reach the store")

// ask has another process carry a call out, within a bound for each. It reports false
// when the call has to be carried out here. sent says that the call may have been carried
// out by a process that gave no answer: whatever the one that answers says of it, and
// whatever comes of it here.
func (r *Router) ask(ctx context.Context, job string, within time.Duration, call *wire.JobCall) (reply *wire.JobReply, sent, ok bool) {
	addrs, mine := r.whom(job)
	var unsure *wire.JobReply
	for _, addr := range addrs {
		reply, s, ok := r.askOne(ctx, job, addr, within, call)
		sent = sent || s
		if ok && (writes(call) || reply.GetOutcome() != wire.JobReply_UNSURE) {
			return reply, sent, true
		}
		if ok {
			unsure = reply
		}
		if ctx.Err() != nil || r.cfg.StoreAway() {
			break
		}
		within = answerWithin
		if read := call.GetRead(); read != nil {
			read.WaitMs = 0 // the first one waited
		}
	}
	if unsure != nil && !mine && !r.cfg.Local.Has(job) {
		return unsure, sent, true
	}
	return nil, sent, false
}

// askOne asks one process. It reports false when that process gave no answer; sent says
// that it may have carried the call out nevertheless.
func (r *Router) askOne(ctx context.Context, job, addr string, within time.Duration, call *wire.JobCall) (reply *wire.JobReply, sent, ok bool) {
	began := time.Now()
	one, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	call.TimeoutMs = uint32(within.Milliseconds())
	reply, err := r.cfg.Remote.Call(one, addr, call)
	if err == nil && reply.GetOutcome() == wire.JobReply_DECLINED {
		err = errDeclined
	}
	if err == nil {
		r.cfg.Metrics.Count("job_call_passed_on")
		return reply, false, true
	}
	var dial *link.DialError
	sent = !errors.As(err, &dial) && !errors.Is(err, errDeclined)
	if ctx.Err() != nil {
		// The caller left; that says nothing of the process that was asked.
		return nil, sent, false
	}
	r.mu.Lock()
	r.avoid[addr] = time.Now().Add(avoidFor)
	r.mu.Unlock()
	r.cfg.Metrics.Count("job_call_not_passed_on")
	r.cfg.Log.Warn("call about a job is not answered by the process that was asked", logging.F("job", job),
		logging.F("asked", addr), logging.F("took_ms", time.Since(began).Milliseconds()), logging.F("error", err.Error()))
	return nil, sent, false
}

// Accept implements Service. To take a job in twice is to take it in once, so it is
// tried here when no other process answers.
func (r *Router) Accept(ctx context.Context, spec *wire.JobSpec) error {
	call := &wire.JobCall{Kind: &wire.JobCall_Accept{Accept: spec}}
	return r.write(ctx, spec.GetId(), call, func() error { return r.cfg.Local.Accept(ctx, spec) })
}

// End implements Service.
func (r *Router) End(ctx context.Context, id string) error {
	call := &wire.JobCall{Kind: &wire.JobCall_End{End: id}}
	return r.write(ctx, id, call, func() error { return r.cfg.Local.End(ctx, id) })
}

// write has a call that writes carried out elsewhere, or here when no other process
// answers.
func (r *Router) write(ctx context.Context, job string, call *wire.JobCall, here func() error) error {
	reply, sent, ok := r.ask(ctx, job, answerWithin, call)
	if ok {
		return unlessSent(failure(reply), sent)
	}
	if err := r.refused(job); err != nil {
		return unlessSent(err, sent)
	}
	return unlessSent(here(), sent)
}

// unlessSent adds to the error of a call that another process was sent before that it may
// have been carried out there.
func unlessSent(err error, sent bool) error {
	if err != nil && sent && errors.Is(err, jobstore.ErrUnsure) {
		return errors.Mark(err, jobstore.ErrUnknownEffect)
	}
	return err
}

// answerable reports whether there is any use in looking for a job here. In an outage who runs
// the partitions is unsure, and whoever was asked began to follow them: when the store
// returned, all processes read nearly all partitions whole.
func answerable(local Local, away func() bool, id string) bool {
	return local.Has(id) || !away()
}

// refused returns the error for a call that there is no use in carrying out here, nil
// when there is.
func (r *Router) refused(job string) error {
	if answerable(r.cfg.Local, r.cfg.StoreAway, job) {
		return nil
	}
	err := r.cfg.Local.Unavailable()
	r.cfg.Metrics.Count("job_call_not_tried")
	r.cfg.Log.Warn("call about a job is refused at once", logging.F("job", job), logging.F("error", err.Error()))
	return err
}

// Results implements Service.
func (r *Router) Results(ctx context.Context, id string, from int, wait time.Duration) (jobstore.Results, error) {
	read := &wire.JobRead{Job: id, From: uint32(from), WaitMs: uint32(wait.Milliseconds())}
	reply, _, ok := r.ask(ctx, id, wait+answerWithin, &wire.JobCall{Kind: &wire.JobCall_Read{Read: read}})
	if ok {
		return results(reply), failure(reply)
	}
	if err := r.refused(id); err != nil {
		return jobstore.Results{}, err
	}
	return r.cfg.Local.Results(ctx, id, from, wait)
}

// Body implements Service.
func (r *Router) Body(ctx context.Context, id, item string) ([]byte, error) {
	body := &wire.JobBody{Job: id, Item: item}
	reply, _, ok := r.ask(ctx, id, answerWithin, &wire.JobCall{Kind: &wire.JobCall_Body{Body: body}})
	if ok {
		return reply.GetBody(), failure(reply)
	}
	if err := r.refused(id); err != nil {
		return nil, err
	}
	return r.cfg.Local.Body(ctx, id, item)
}
