package ledger

import (
	"bytes"
	"context"
	"time"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/wire"
)

// Serve handles one caller's request on this partition. A failure is part of the
// reply.
func (o *Owner) Serve(ctx context.Context, req *wire.PeerRequest) *wire.PeerReply {
	reply, err := o.serve(ctx, req)
	if err != nil {
		return &wire.PeerReply{Failure: apierr.From(err).ToWire()}
	}
	return reply
}

func (o *Owner) serve(ctx context.Context, req *wire.PeerRequest) (*wire.PeerReply, error) {
	if !o.Ready() {
		return nil, notOwner()
	}
	if err := o.renewReadLease(ctx); err != nil {
		return nil, err
	}
	if !o.Ready() {
		return nil, notOwner()
	}
	switch k := req.GetKind().(type) {
	case *wire.PeerRequest_PutChunk:
		return o.putChunk(ctx, k.PutChunk)
	case *wire.PeerRequest_SealFile:
		return o.sealFile(ctx, k.SealFile)
	case *wire.PeerRequest_CommitJob:
		return o.commitJob(ctx, k.CommitJob)
	case *wire.PeerRequest_CancelJob:
		return o.cancelJob(ctx, k.CancelJob)
	case *wire.PeerRequest_GetJob:
		return o.getJob(k.GetJob)
	case *wire.PeerRequest_ListJobs:
		return o.listJobs(k.ListJobs)
	case *wire.PeerRequest_ReadResults:
		return o.readResults(ctx, k.ReadResults)
	case *wire.PeerRequest_ReadFile:
		return o.readFile(ctx, k.ReadFile)
	case *wire.PeerRequest_RecordKey:
		return o.recordKey(ctx, k.RecordKey)
	}
	return nil, apierr.New(apierr.CodeBadRequest, "unknown request")
}

// Ready reports whether this node owns the partition according to the records
// read so far.
func (o *Owner) Ready() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.closed && o.partition != nil && o.owned()
}

func (o *Owner) putChunk(ctx context.Context, c *wire.PutChunk) (*wire.PeerReply, error) {
	if o.hasChunk(c) {
		return &wire.PeerReply{}, nil
	}
	err := o.commit(ctx, &wire.Entry{Kind: &wire.Entry_Chunk{Chunk: c}})
	return &wire.PeerReply{}, err
}

// fileID converts an id from the wire. It returns the zero FileID, which names no
// file, when the id has the wrong length.
func fileID(b []byte) batch.FileID {
	var id batch.FileID
	if len(b) == len(id) {
		copy(id[:], b)
	}
	return id
}

// jobID converts an id from the wire. It reports false when the id has the wrong
// length.
func jobID(b []byte) (batch.JobID, bool) {
	var id batch.JobID
	if len(b) != len(id) {
		return id, false
	}
	copy(id[:], b)
	return id, true
}

// hasChunk reports whether a chunk is stored already, so that a repeated upload
// is not written again. A file's id is a digest of its content.
func (o *Owner) hasChunk(c *wire.PutChunk) bool {
	id := fileID(c.GetFile())
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.partition.File(id)
	if f == nil || f.Workspace != c.GetWorkspace() {
		return false
	}
	_, ok := f.ChunkOffset(c.GetNumber())
	return ok || f.Sealed
}

// sealed reports whether a workspace has a complete file with this id. Applying
// records changes the file, so it is only read under Owner.mu.
func (o *Owner) sealed(workspace string, file []byte) bool {
	id := fileID(file)
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.partition.File(id)
	return f != nil && f.Workspace == workspace && f.Sealed
}

func (o *Owner) sealFile(ctx context.Context, s *wire.SealFile) (*wire.PeerReply, error) {
	if o.sealed(s.GetWorkspace(), s.GetFile()) {
		return &wire.PeerReply{}, nil
	}
	if err := o.commit(ctx, &wire.Entry{Kind: &wire.Entry_Seal{Seal: s}}); err != nil {
		return nil, err
	}
	if !o.sealed(s.GetWorkspace(), s.GetFile()) {
		return nil, apierr.New(apierr.CodeBadRequest, "chunks of the file are missing")
	}
	return &wire.PeerReply{}, nil
}

// commitJob accepts a job. It replies only after read-back, with the job that is
// stored under the idempotency key: this one, or an equal one that was sent
// before.
func (o *Owner) commitJob(ctx context.Context, c *wire.CommitJob) (*wire.PeerReply, error) {
	id, ok := jobID(c.GetJob())
	if !ok {
		return nil, apierr.New(apierr.CodeBadRequest, "bad job id")
	}
	if o.job(id) == nil {
		if !o.sealed(c.GetWorkspace(), c.GetFile()) {
			return nil, apierr.New(apierr.CodeNotFound, "no such file")
		}
		if err := o.commit(ctx, &wire.Entry{Kind: &wire.Entry_Commit{Commit: c}}); err != nil {
			return nil, err
		}
	}
	j := o.job(id)
	if j == nil {
		return nil, notOwner()
	}
	if !batch.SameJob(j, c) {
		return nil, apierr.New(apierr.CodeIdempotencyConflict, "the idempotency key belongs to a job with another content")
	}
	return o.jobReply(j), nil
}

func (o *Owner) job(id batch.JobID) *batch.Job {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.partition.Job(id)
}

// jobReply returns a reply with the job's current state.
func (o *Owner) jobReply(j *batch.Job) *wire.PeerReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &wire.PeerReply{Job: j.Info(o.number)}
}

// findJob returns a workspace's job. A job of another workspace is reported as
// not found, so that its existence is not disclosed.
func (o *Owner) findJob(workspace string, id []byte) (*batch.Job, error) {
	key, _ := jobID(id)
	j := o.job(key)
	if j == nil || j.Commit.GetWorkspace() != workspace {
		return nil, apierr.New(apierr.CodeNotFound, "no such batch")
	}
	return j, nil
}

func (o *Owner) getJob(g *wire.GetJob) (*wire.PeerReply, error) {
	j, err := o.findJob(g.GetWorkspace(), g.GetJob())
	if err != nil {
		return nil, err
	}
	reply := o.jobReply(j)
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.cancels[j.ID]; w != nil && !w.finished() {
		reply.Job.State = StateCancelling
	}
	return reply, nil
}

// StateCancelling is the reported state of a cancelled job until all agents have
// confirmed the cancel.
const StateCancelling = "cancelling"

func (o *Owner) listJobs(l *wire.ListJobs) (*wire.PeerReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &wire.PeerReply{}
	o.partition.Jobs(func(j *batch.Job) bool {
		if j.Commit.GetWorkspace() == l.GetWorkspace() {
			reply.Jobs = append(reply.Jobs, j.Info(o.number))
		}
		return true
	})
	return reply, nil
}

// cancelWait tracks which agents have not yet confirmed that no item of a job
// runs or will start there. Owner.mu guards it.
type cancelWait struct {
	unconfirmed map[string]bool // by agent name
	done        chan struct{}   // closed when all agents have confirmed
}

func (w *cancelWait) confirm(agent string) {
	if !w.unconfirmed[agent] {
		return
	}
	delete(w.unconfirmed, agent)
	if len(w.unconfirmed) == 0 {
		close(w.done)
	}
}

func (w *cancelWait) finished() bool {
	return len(w.unconfirmed) == 0
}

// cancelAckTimeout is how long a cancel waits for agents before it replies with
// StateCancelling.
const cancelAckTimeout = 2 * time.Second

// cancelJob cancels a job. It replies with the state "cancelled" only after the
// record was read back and every agent has confirmed that no item of the job runs
// or will start. Until then it replies with StateCancelling.
func (o *Owner) cancelJob(ctx context.Context, c *wire.CancelJob) (*wire.PeerReply, error) {
	j, err := o.findJob(c.GetWorkspace(), c.GetJob())
	if err != nil {
		return nil, err
	}
	if o.jobState(j) == batch.JobRunning {
		if err := o.commit(ctx, &wire.Entry{Kind: &wire.Entry_Cancel{Cancel: c}}); err != nil {
			return nil, err
		}
	}
	if o.jobState(j) == batch.JobCancelled {
		o.awaitCancelAcks(ctx, j.ID)
	}
	return o.getJob(&wire.GetJob{Workspace: c.GetWorkspace(), Job: c.GetJob()})
}

func (o *Owner) jobState(j *batch.Job) batch.JobState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return j.State()
}

// awaitCancelAcks waits until all agents have confirmed the cancel of a job,
// cancelAckTimeout has passed, or ctx ends.
func (o *Owner) awaitCancelAcks(ctx context.Context, id batch.JobID) {
	w := o.startCancel(id)
	timer := time.NewTimer(cancelAckTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startCancel sends the cancel of a job to every agent. It also waits for agents
// that are disconnected but not yet lost, because they may hold items that their
// lease still lets start.
func (o *Owner) startCancel(id batch.JobID) *cancelWait {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.cancels[id]; w != nil {
		return w
	}
	w := &cancelWait{unconfirmed: make(map[string]bool), done: make(chan struct{})}
	o.cancels[id] = w
	for agent, f := range o.feeds {
		w.unconfirmed[agent] = true
		f.notifyCancelled(o.jobRef(id))
	}
	for agent := range o.disconnectedAt {
		w.unconfirmed[agent] = true
	}
	if len(w.unconfirmed) == 0 {
		close(w.done)
	}
	return w
}

func (o *Owner) jobRef(id batch.JobID) *wire.JobRef {
	return &wire.JobRef{Partition: o.number, Epoch: o.epoch, Job: append([]byte(nil), id[:]...)}
}

// confirmCancel records that no item of a job runs or will start on an agent.
// Owner.mu must be held.
func (o *Owner) confirmCancel(agent string, ref *wire.JobRef) {
	id, ok := jobID(ref.GetJob())
	if !ok || ref.GetPartition() != o.number {
		return
	}
	if w := o.cancels[id]; w != nil {
		w.confirm(agent)
	}
}

// maxResultPage bounds the items in one page of results.
const maxResultPage = 1000

// readResults returns outcomes in the order of the input file. It leaves out
// items without an outcome, so that results can be read while the job runs.
func (o *Owner) readResults(ctx context.Context, r *wire.ReadResults) (*wire.PeerReply, error) {
	j, err := o.findJob(r.GetWorkspace(), r.GetJob())
	if err != nil {
		return nil, err
	}
	limit := r.GetLimit()
	if limit == 0 || limit > maxResultPage {
		limit = maxResultPage
	}
	o.mu.Lock()
	to := min(r.GetFrom()+limit, j.Total)
	offsets := j.ResultOffsets(r.GetFrom(), to)
	states := make(map[uint32]string)
	for index := r.GetFrom(); index < to; index++ {
		if s := j.ItemState(index); s != "pending" {
			states[index] = s
		}
	}
	o.mu.Unlock()
	outcomes, err := o.readOutcomes(ctx, j.ID, offsets, r.GetFrom(), to)
	if err != nil {
		return nil, err
	}
	page := &wire.ResultPage{Next: to, More: to < j.Total}
	for index := r.GetFrom(); index < to; index++ {
		state, ok := states[index]
		if !ok {
			continue
		}
		line, err := o.resultLine(ctx, j, index, state, outcomes[index])
		if err != nil {
			return nil, err
		}
		page.Lines = append(page.Lines, line)
	}
	return &wire.PeerReply{Results: page}, nil
}

// readOutcomes reads the outcomes of the items in [from, to) from the records at
// offsets. The first outcome of an item counts, as in the fold.
func (o *Owner) readOutcomes(ctx context.Context, id batch.JobID, offsets []uint64, from, to uint32) (map[uint32]*wire.Outcome, error) {
	out := make(map[uint32]*wire.Outcome)
	seen := make(map[uint64]bool)
	for _, off := range offsets {
		if seen[off] {
			continue
		}
		seen[off] = true
		data, err := readRecord(ctx, o.cfg.Log, StreamName(o.number), off)
		if err != nil {
			return nil, err
		}
		for _, oc := range batch.DecodeOutcomes(data, id) {
			if oc.GetIndex() < from || oc.GetIndex() >= to || out[oc.GetIndex()] != nil {
				continue
			}
			out[oc.GetIndex()] = oc
		}
	}
	return out, nil
}

// resultLine builds one line of a result page. oc may be nil only for an item of
// a cancelled job.
func (o *Owner) resultLine(ctx context.Context, j *batch.Job, index uint32, state string, oc *wire.Outcome) (*wire.ResultLine, error) {
	if oc == nil && state != "cancelled" {
		return nil, apierr.New(apierr.CodeInternal, "result of item %d is not on the log", index)
	}
	customID := oc.GetCustomId()
	if customID == "" {
		customID = o.customID(ctx, j, index)
	}
	return &wire.ResultLine{
		Index:            index,
		CustomId:         customID,
		State:            state,
		Reason:           oc.GetReason(),
		Text:             oc.GetText(),
		PromptTokens:     oc.GetPromptTokens(),
		CompletionTokens: oc.GetCompletionTokens(),
	}, nil
}

func (o *Owner) readFile(ctx context.Context, r *wire.ReadFile) (*wire.PeerReply, error) {
	if !o.sealed(r.GetWorkspace(), r.GetFile()) {
		return nil, apierr.New(apierr.CodeNotFound, "no such file")
	}
	o.mu.Lock()
	f := o.partition.File(fileID(r.GetFile()))
	if f == nil {
		o.mu.Unlock()
		return nil, apierr.New(apierr.CodeNotFound, "no such file")
	}
	page := &wire.FilePage{Chunks: f.Chunks(), TotalLines: f.Lines, Bytes: f.Bytes, Name: f.Name}
	off, ok := f.ChunkOffset(r.GetChunk())
	o.mu.Unlock()
	if !ok {
		return &wire.PeerReply{File: page}, nil
	}
	chunk, err := o.chunks.get(ctx, f.ID, r.GetChunk(), off)
	if err != nil {
		return nil, err
	}
	page.Lines = chunk.GetLines()
	return &wire.PeerReply{File: page}, nil
}

// recordKey records that a non-idempotent online request with an idempotency key
// is about to start. If a request has started under the key before, it replies
// with that one.
func (o *Owner) recordKey(ctx context.Context, k *wire.RecordKey) (*wire.PeerReply, error) {
	var id batch.KeyID
	if len(k.GetKey()) != len(id) {
		return nil, apierr.New(apierr.CodeBadRequest, "bad key")
	}
	copy(id[:], k.GetKey())
	if o.recordedKey(id) == nil {
		if err := o.commit(ctx, &wire.Entry{Kind: &wire.Entry_Key{Key: k}}); err != nil {
			return nil, err
		}
	}
	recorded := o.recordedKey(id)
	if recorded == nil {
		return nil, notOwner()
	}
	if !bytes.Equal(recorded.GetDigest(), k.GetDigest()) {
		return nil, apierr.New(apierr.CodeIdempotencyConflict, "the idempotency key belongs to another request")
	}
	return &wire.PeerReply{Key: &wire.KeyReply{
		Request: recorded.GetRequest(),
		Agent:   recorded.GetAgent(),
		First:   bytes.Equal(recorded.GetRequest(), k.GetRequest()),
	}}, nil
}

func (o *Owner) recordedKey(id batch.KeyID) *wire.RecordKey {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.partition.Key(id)
}
