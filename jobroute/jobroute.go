// Package jobroute forwards calls about jobs to the process that runs the job's partition
// (its owner), which holds the partition's state in memory.
//
// Every process can serve such a call itself by following the partition on the shared
// store. Since callers connect to any process, every process would then follow every
// partition, and each result would be read once per process. A call is therefore forwarded
// to the owner. If the owner does not reply, the call goes to the partition's backup, which
// is one other process and the same for all callers. A process that alone cannot reach the store
// is replaced by the next backup. Other processes refuse the call then,
// unless these processes are cut off: in a large fleet the loads of all processes together would
// keep the store busy for minutes, and the owners' loads with them. Ownership comes from the
// store's group and may be out of date, so the called process replies from the partition's
// state and never relies on being its owner.
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

// Service executes calls about jobs. Its errors are those of package jobstore.
type Service interface {
	// Accept stores a new job. It is idempotent.
	Accept(ctx context.Context, spec *wire.JobSpec) error
	// Results returns the results that start at position from. If there are none, it waits
	// for one, at most for wait.
	Results(ctx context.Context, id string, from int, wait time.Duration) (jobstore.Results, error)
	// Body returns the body of an item that has no listed result yet.
	Body(ctx context.Context, id, item string) ([]byte, error)
	// End ends the job.
	End(ctx context.Context, id string) error
}

// Local is the Service of this process, which forwards nothing.
type Local interface {
	Service
	// Has reports whether the job is known without a call to the shared store.
	Has(id string) bool
	// Unavailable returns the error for a call that is refused because the store is
	// unavailable.
	Unavailable() error
}

// Remote sends calls to other processes.
type Remote interface {
	// Call sends call to the process at addr. It returns a link.DialError if the call was
	// not sent.
	Call(ctx context.Context, addr string, call *wire.JobCall) (*wire.JobReply, error)
}

// Limits of calls to other processes.
const (
	// callTimeout limits a call, not counting the time that it waits for results. A call
	// takes about 10 ms, or 100 ms to accept a job while two processes race to append to
	// the partition. The rest of a caller's 500 ms is enough to serve the call locally.
	callTimeout = 300 * time.Millisecond
	// replyMargin is how much sooner than the caller the called process gives up, so that its
	// reply arrives in time and it does not count as unresponsive.
	replyMargin = 50 * time.Millisecond
	// maxServers is the number of processes that may load a partition for callers at a time:
	// the owner and one backup.
	maxServers = 2
	// maxBackups is the number of processes that take the place of an owner one after the
	// other. Each may load the partition, so the number stays small in a fleet of any size.
	maxBackups = 3
	// avoidDuration is how long no calls are sent to a process that did not reply. The
	// group takes 1.6 s to reassign its partitions.
	avoidDuration = 2 * time.Second
)

// Config holds the dependencies of a Router.
type Config struct {
	Self             string // member address of this process in the group
	Local            Local
	StoreUnavailable func() bool // reports whether this process cannot reach the store at all
	PartitionOf      func(job string) int
	Remote           Remote
	Log              logging.Logger
	Metrics          *metrics.Set
}

// Router is a Service that forwards each call to the owner of the job's partition or to its
// backup. If neither replies, it serves the call locally where that loads no further
// partition or mayLoad permits it, and refuses it otherwise. Its methods are safe for
// concurrent use.
type Router struct {
	cfg Config

	mu     sync.Mutex
	owners map[int]string // address of the owner by partition
	// members holds the distinct addresses of all owners, sorted.
	members []string
	failed  map[string]callFailure // by address, the last failed call
}

// callFailure is a failed call to a process.
type callFailure struct {
	avoidUntil time.Time // calls to the process may resume then
	notReached bool      // no connection to the process could be opened
	declined   bool      // the process cannot reach the store
	cutOff     bool      // it declined although this process reaches the store
}

// busy reports whether the process was reached and did not reply in time.
func (f callFailure) busy() bool { return !f.notReached && !f.declined }

// New returns a Router without owners; it serves all calls locally until SetOwners.
func New(cfg Config) *Router {
	return &Router{cfg: cfg, owners: make(map[int]string), failed: make(map[string]callFailure)}
}

// SetOwners replaces the owners by those that all lists for the partitions of topic.
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
	for addr, f := range r.failed {
		if !time.Now().Before(f.avoidUntil) {
			delete(r.failed, addr)
		}
	}
}

// servers returns the processes that may serve calls about a job, in order: the owner of its
// partition and the backup. In place of one that is cut off from the store comes the next
// backup, up to maxBackups; the ones cut off come last, to be told apart from processes that are
// not known. A process that declines in an outage of the store is not replaced: after it all
// would load the partition. The caller holds r.mu.
func (r *Router) servers(job string) []string {
	part := r.cfg.PartitionOf(job)
	owner := r.owners[part]
	others := slices.DeleteFunc(slices.Clone(r.members), func(addr string) bool { return addr == owner })
	chain := routing.Top(others, uint64(part), maxBackups)
	if owner != "" {
		chain = slices.Insert(chain, 0, owner)
	}
	now := time.Now()
	var active, cutOff []string
	for _, addr := range chain {
		if f := r.failed[addr]; f.cutOff && now.Before(f.avoidUntil) {
			cutOff = append(cutOff, addr)
		} else if len(active) < maxServers {
			active = append(active, addr)
		}
	}
	return append(active, cutOff...)
}

// nextCandidate returns the address to forward a call about a job to: the first server before
// this process that has not failed recently and is not among those asked. It returns "" if
// there is none.
func (r *Router) nextCandidate(job string, asked []string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, addr := range r.servers(job) {
		if addr == r.cfg.Self {
			break
		}
		if !now.Before(r.failed[addr].avoidUntil) && !slices.Contains(asked, addr) {
			return addr
		}
	}
	return ""
}

// mayLoad reports whether this process may load the partition of a job from the store: it is
// the owner or the backup, one of the two is not known, or none of the servers can serve the job,
// because this process does not reach them or does not reach one and the others decline. A server
// that is busy may be waiting for the store, so it forbids loading.
func (r *Router) mayLoad(job string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers := r.servers(job)
	if len(servers) < maxServers {
		return true
	}
	now := time.Now()
	anyNotReached := false
	for _, addr := range servers {
		if addr == r.cfg.Self {
			return true
		}
		f, failed := r.failed[addr]
		if !failed || !now.Before(f.avoidUntil) || f.busy() {
			return false
		}
		anyNotReached = anyNotReached || f.notReached
	}
	return anyNotReached
}

// errDeclined is the error for a process that declined a call because it cannot reach the
// store directly.
var errDeclined = errors.New("called process declined: it cannot reach the store")

// forward sends a call to the candidates in turn, at first with the given timeout and then
// with callTimeout. ok is false if the call has to be served locally. sent reports that a
// process which did not reply may have executed the call, whatever the outcome elsewhere
// or here.
func (r *Router) forward(ctx context.Context, job string, timeout time.Duration, call *wire.JobCall) (reply *wire.JobReply, sent, ok bool) {
	var unsure *wire.JobReply
	var asked []string
	for addr := r.nextCandidate(job, nil); addr != ""; addr = r.nextCandidate(job, asked) {
		asked = append(asked, addr)
		reply, s, ok := r.forwardTo(ctx, job, addr, timeout, call)
		sent = sent || s
		if ok && (isWrite(call) || reply.GetOutcome() != wire.JobReply_UNSURE) {
			return reply, sent, true
		}
		if ok {
			unsure = reply
		}
		if ctx.Err() != nil || r.cfg.StoreUnavailable() {
			break
		}
		timeout = callTimeout
		if read := call.GetRead(); read != nil {
			read.WaitMs = 0 // the first call has waited
		}
	}
	if unsure != nil && !r.mayLoad(job) && !r.cfg.Local.Has(job) {
		return unsure, sent, true
	}
	return nil, sent, false
}

// forwardTo sends a call to one process. ok is false if the process did not reply or
// declined; sent then reports that it may have executed the call nevertheless.
func (r *Router) forwardTo(ctx context.Context, job, addr string, timeout time.Duration, call *wire.JobCall) (reply *wire.JobReply, sent, ok bool) {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call.TimeoutMs = uint32((timeout - replyMargin).Milliseconds())
	reply, err := r.cfg.Remote.Call(callCtx, addr, call)
	if err == nil && reply.GetOutcome() == wire.JobReply_DECLINED {
		err = errDeclined
	}
	if err == nil {
		r.cfg.Metrics.Count("job_call_passed_on")
		return reply, false, true
	}
	var dialErr *link.DialError
	sent = !errors.As(err, &dialErr) && !errors.Is(err, errDeclined)
	if ctx.Err() != nil {
		// The caller disconnected or timed out, which is no failure of the called process.
		return nil, sent, false
	}
	storeReachable := !r.cfg.StoreUnavailable()
	r.mu.Lock()
	declined := errors.Is(err, errDeclined)
	r.failed[addr] = callFailure{
		avoidUntil: time.Now().Add(avoidDuration), notReached: dialErr != nil, declined: declined, cutOff: declined && storeReachable,
	}
	r.mu.Unlock()
	r.cfg.Metrics.Count("job_call_not_passed_on")
	r.cfg.Log.Warn("job call to another process failed", logging.F("job", job),
		logging.F("asked", addr), logging.F("took_ms", time.Since(start).Milliseconds()), logging.F("error", err.Error()))
	return nil, sent, false
}

// Accept implements Service. Accepting a job is idempotent, so the call is served locally
// if no other process replies.
func (r *Router) Accept(ctx context.Context, spec *wire.JobSpec) error {
	call := &wire.JobCall{Kind: &wire.JobCall_Accept{Accept: spec}}
	return r.forwardWrite(ctx, spec.GetId(), call, func() error { return r.cfg.Local.Accept(ctx, spec) })
}

// End implements Service.
func (r *Router) End(ctx context.Context, id string) error {
	call := &wire.JobCall{Kind: &wire.JobCall_End{End: id}}
	return r.forwardWrite(ctx, id, call, func() error { return r.cfg.Local.End(ctx, id) })
}

// forwardWrite forwards a call that writes, and calls serveLocal if no other process
// replies.
func (r *Router) forwardWrite(ctx context.Context, job string, call *wire.JobCall, serveLocal func() error) error {
	reply, sent, ok := r.forward(ctx, job, callTimeout, call)
	if ok {
		return markIfSent(decodeError(reply), sent)
	}
	if err := r.checkLocal(job); err != nil {
		return markIfSent(err, sent)
	}
	return markIfSent(serveLocal(), sent)
}

// markIfSent marks an error that says nothing was written as jobstore.ErrOutcomeUnknown if
// another process may have executed the call before.
func markIfSent(err error, sent bool) error {
	nothingWritten := errors.Is(err, jobstore.ErrStoreUnavailable) || errors.Is(err, store.ErrFull)
	if sent && nothingWritten {
		return errors.Mark(err, jobstore.ErrOutcomeUnknown)
	}
	return err
}

// canServeLocally reports whether a call about a job may be served by this process: the
// job is known here or the store is reachable. During an outage owners are uncertain. If
// each called process started to follow the partition, all processes would read almost all
// partitions in full once the store returns.
func canServeLocally(local Local, unavailable func() bool, id string) bool {
	return local.Has(id) || !unavailable()
}

// checkLocal returns the error for a call that cannot be served locally, or nil if it can.
func (r *Router) checkLocal(job string) error {
	storeReachable := !r.cfg.StoreUnavailable()
	if r.cfg.Local.Has(job) || storeReachable && r.mayLoad(job) {
		return nil
	}
	err := r.cfg.Local.Unavailable()
	r.cfg.Metrics.Count("job_call_not_tried")
	r.cfg.Log.Warn("job call refused: no process that serves the job replies, and it is not known here", logging.F("job", job),
		logging.F("store_reachable", storeReachable), logging.F("error", err.Error()))
	return err
}

// Results implements Service.
func (r *Router) Results(ctx context.Context, id string, from int, wait time.Duration) (jobstore.Results, error) {
	read := &wire.JobResultsRequest{Job: id, From: uint32(from), WaitMs: uint32(wait.Milliseconds())}
	reply, _, ok := r.forward(ctx, id, wait+callTimeout, &wire.JobCall{Kind: &wire.JobCall_Read{Read: read}})
	if ok {
		return decodeResults(reply), decodeError(reply)
	}
	if err := r.checkLocal(id); err != nil {
		return jobstore.Results{}, err
	}
	return r.cfg.Local.Results(ctx, id, from, wait)
}

// Body implements Service.
func (r *Router) Body(ctx context.Context, id, item string) ([]byte, error) {
	body := &wire.ItemBodyRequest{Job: id, Item: item}
	reply, _, ok := r.forward(ctx, id, callTimeout, &wire.JobCall{Kind: &wire.JobCall_Body{Body: body}})
	if ok {
		return reply.GetBody(), decodeError(reply)
	}
	if err := r.checkLocal(id); err != nil {
		return nil, err
	}
	return r.cfg.Local.Body(ctx, id, item)
}
