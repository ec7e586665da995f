// Package jobroute passes a caller's call about a job on to the process that runs the
// job's partition, which has its state in memory.
//
// Every process can answer such a call by itself, by following the partition on the
// shared store. With callers that come to any process, all processes then come to
// follow all partitions, and each result is read as often as there are processes: 133
// of them before 48 partitions made 508,152 calls of the store in a minute with 3,189
// items, and 26,552 since they do not.
// So the state of a partition is asked for where it is, and followed only when the
// process that has it does not answer. Who that is comes from the store's group and may
// be wrong: whoever is asked answers from the partition itself, never from its role.
package jobroute

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pumiceford/jobstore"
	"pumiceford/link"
	"pumiceford/logging"
	"pumiceford/metrics"
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
	owners map[int]string       // address of the process that runs a partition
	avoid  map[string]time.Time // processes that are not asked until then
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
	r.owners = owners
	for addr, until := range r.avoid {
		if !time.Now().Before(until) {
			delete(r.avoid, addr)
		}
	}
}

// owner returns the process to ask for a job, "" when that is this one or none can be
// asked.
func (r *Router) owner(job string) string {
	part := r.cfg.PartitionOf(job)
	r.mu.Lock()
	defer r.mu.Unlock()
	addr := r.owners[part]
	if addr == r.cfg.Self || time.Now().Before(r.avoid[addr]) {
		return ""
	}
	return addr
}

// errDeclined says that the process that was asked cannot reach the store itself.
var errDeclined = errors.New("asked process does not reach the store")

// ask has the process that runs a job's partition carry a call out, within a bound. It
// reports false when the call has to be carried out here; sent says that it may have
// been carried out there nevertheless.
func (r *Router) ask(ctx context.Context, job string, within time.Duration, call *wire.JobCall) (reply *wire.JobReply, sent, ok bool) {
	addr := r.owner(job)
	if addr == "" {
		return nil, false, false
	}
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
		return reply, true, true
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
	r.cfg.Log.Warn("call about a job is answered here; the process that runs it did not", logging.F("job", job),
		logging.F("asked", addr), logging.F("took_ms", time.Since(began).Milliseconds()), logging.F("error", err.Error()))
	return nil, sent, false
}

// Accept implements Service. To take a job in twice is to take it in once, so it is
// tried here when the other process does not answer.
func (r *Router) Accept(ctx context.Context, spec *wire.JobSpec) error {
	call := &wire.JobCall{Kind: &wire.JobCall_Accept{Accept: spec}}
	reply, sent, ok := r.ask(ctx, spec.GetId(), answerWithin, call)
	if ok {
		return failure(reply)
	}
	return unlessSent(r.cfg.Local.Accept(ctx, spec), sent)
}

// End implements Service.
func (r *Router) End(ctx context.Context, id string) error {
	reply, sent, ok := r.ask(ctx, id, answerWithin, &wire.JobCall{Kind: &wire.JobCall_End{End: id}})
	if ok {
		return failure(reply)
	}
	return unlessSent(r.cfg.Local.End(ctx, id), sent)
}

// unlessSent adds to the error of a call that was carried out here that it may still be
// carried out elsewhere.
func unlessSent(err error, sent bool) error {
	if err != nil && sent && errors.Is(err, jobstore.ErrUnsure) {
		return errors.Mark(err, jobstore.ErrUnknownEffect)
	}
	return err
}

// errStoreAway says that a job is not known here and cannot be looked up.
var errStoreAway = errors.New("job is not known here and the shared store is away")

// mayLookUp fails when a job cannot be read here anyway. In an outage the processes that
// run the partitions are unsure, and whoever is asked would begin to follow them: when
// the store returned, 133 processes all read nearly all partitions whole.
func (r *Router) mayLookUp(id string) error {
	if r.runs(id) || r.cfg.Local.Has(id) || !r.cfg.StoreAway() {
		return nil
	}
	r.cfg.Metrics.Count("job_read_not_tried")
	return errors.Mark(errStoreAway, jobstore.ErrUnsure)
}

// runs reports whether this process runs a job's partition, as far as the group tells.
func (r *Router) runs(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.owners[r.cfg.PartitionOf(job)] == r.cfg.Self
}

// Results implements Service.
func (r *Router) Results(ctx context.Context, id string, from int, wait time.Duration) (jobstore.Results, error) {
	read := &wire.JobRead{Job: id, From: uint32(from), WaitMs: uint32(wait.Milliseconds())}
	reply, _, ok := r.ask(ctx, id, wait+answerWithin, &wire.JobCall{Kind: &wire.JobCall_Read{Read: read}})
	if !ok || reply.GetOutcome() == wire.JobReply_UNSURE {
		if err := r.mayLookUp(id); err != nil {
			return jobstore.Results{}, err
		}
		return r.cfg.Local.Results(ctx, id, from, wait)
	}
	return results(reply), failure(reply)
}

// Body implements Service.
func (r *Router) Body(ctx context.Context, id, item string) ([]byte, error) {
	body := &wire.JobBody{Job: id, Item: item}
	reply, _, ok := r.ask(ctx, id, answerWithin, &wire.JobCall{Kind: &wire.JobCall_Body{Body: body}})
	if !ok || reply.GetOutcome() == wire.JobReply_UNSURE {
		if err := r.mayLookUp(id); err != nil {
			return nil, err
		}
		return r.cfg.Local.Body(ctx, id, item)
	}
	return reply.GetBody(), failure(reply)
}
