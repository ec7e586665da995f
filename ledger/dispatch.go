package ledger

import (
	"container/list"
	"context"
	"sync"
	"time"

	"pumiceford/apierr"
	"pumiceford/batch"
	"pumiceford/infra"
	"pumiceford/wire"
)

// maxGrantsPerMessage bounds the items in one message to an agent.
const maxGrantsPerMessage = 256

// nextGrants picks items for an agent that wants items, records the start of
// non-idempotent ones and reads their payloads. It grants nothing during the
// grace period after a takeover, while the result buffer is full, or on a drain.
func (o *Owner) nextGrants(ctx context.Context, f *feed) []*wire.Grant {
	picks := o.pickItems(f)
	if len(picks) == 0 {
		return nil
	}
	picks = o.recordStarts(ctx, f, picks)
	grants := make([]*wire.Grant, 0, len(picks))
	for _, pick := range picks {
		g, err := o.newGrant(ctx, pick)
		switch {
		case apierr.Is(err, apierr.CodeBadRequest):
			o.failItem(pick.Key, ReasonBadItem)
		case err != nil:
			o.handBack(f.agent, pick.Key)
		default:
			grants = append(grants, g)
		}
	}
	return grants
}

// pickItems chooses the items to grant to an agent. It returns none while the
// owner must not dispatch.
func (o *Owner) pickItems(f *feed) []batch.Pick {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !o.owned() || o.draining || !f.declared || f.draining || f.want <= 0 {
		return nil
	}
	if now.Sub(o.takenOverAt) < o.cfg.GracePeriod || o.bufferedBytes >= o.cfg.MaxBufferedBytes {
		return nil
	}
	o.dispatcher.SetShares(o.cfg.Share)
	picks := o.dispatcher.Grant(now, f.agent, min(f.want, maxGrantsPerMessage), f.models)
	f.want -= len(picks)
	return picks
}

// recordStarts makes the starts of non-idempotent items durable before they are
// granted. Without the record a new owner could not tell which items may have
// run, and would run an item twice or not at all. If the write fails, the
// non-idempotent items go back to the queue.
func (o *Owner) recordStarts(ctx context.Context, f *feed, picks []batch.Pick) []batch.Pick {
	starts := make(map[batch.JobID][]uint32)
	for _, pick := range picks {
		if pick.Job.Commit.GetNonIdempotent() {
			starts[pick.Key.Job] = append(starts[pick.Key.Job], pick.Key.Index)
		}
	}
	if len(starts) == 0 {
		return picks
	}
	var entries []*wire.Entry
	for job, indexes := range starts {
		entries = append(entries, &wire.Entry{Kind: &wire.Entry_Starts{Starts: &wire.ItemStarts{Job: job[:], Index: indexes}}})
	}
	if o.commit(ctx, entries...) == nil {
		return picks
	}
	kept := picks[:0]
	for _, pick := range picks {
		if pick.Job.Commit.GetNonIdempotent() {
			o.handBack(f.agent, pick.Key)
			continue
		}
		kept = append(kept, pick)
	}
	return kept
}

// handBack queues again an item that was picked but not sent to the agent.
func (o *Owner) handBack(agent string, key batch.ItemKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dispatcher.HandBack(key, agent)
}

// failItem records an item as failed without an execution.
func (o *Owner) failItem(key batch.ItemKey, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bufferOutcome(key, &wire.Outcome{Index: key.Index, Reason: reason}, resultAck{})
}

// newGrant reads an item's payload and builds the grant for it.
func (o *Owner) newGrant(ctx context.Context, pick batch.Pick) (*wire.Grant, error) {
	line, err := o.itemLine(ctx, pick.Job, pick.Key.Index)
	if err != nil {
		return nil, err
	}
	item, err := batch.ParseItem(line)
	if err != nil {
		return nil, err
	}
	c := pick.Job.Commit
	return &wire.Grant{
		Ref: &wire.ItemRef{
			Partition: o.number,
			Epoch:     o.epoch,
			Job:       c.GetJob(),
			Index:     pick.Key.Index,
		},
		Workspace:     c.GetWorkspace(),
		Model:         c.GetModel(),
		Prompt:        item.Prompt,
		MaxTokens:     item.MaxTokens,
		DueUnixMs:     c.GetDueUnixMs(),
		Alone:         pick.Alone,
		NonIdempotent: c.GetNonIdempotent(),
		Attempt:       pick.Attempt,
		Weight:        o.cfg.Share(c.GetWorkspace()),
		CustomId:      item.CustomID,
	}, nil
}

// itemLine returns an item's line of the input file.
func (o *Owner) itemLine(ctx context.Context, j *batch.Job, index uint32) ([]byte, error) {
	var file batch.FileID
	copy(file[:], j.Commit.GetFile())
	o.mu.Lock()
	f := o.partition.File(file)
	if f == nil {
		o.mu.Unlock()
		return nil, apierr.New(apierr.CodeNotFound, "input file does not exist")
	}
	number, line, ok := f.Locate(index)
	off, known := f.ChunkOffset(number)
	o.mu.Unlock()
	if !ok || !known {
		return nil, apierr.New(apierr.CodeBadRequest, "input file has no such item")
	}
	chunk, err := o.chunks.get(ctx, file, number, off)
	if err != nil {
		return nil, err
	}
	if int(line) >= len(chunk.GetLines()) {
		return nil, apierr.New(apierr.CodeBadRequest, "chunk of the input file has no such line")
	}
	return chunk.GetLines()[line], nil
}

// chunkCache is an LRU cache of file chunks that are being granted or read.
type chunkCache struct {
	log    infra.Log
	stream string

	mu    sync.Mutex
	lru   *list.List // front is the most recent
	items map[chunkKey]*list.Element
}

type chunkKey struct {
	file   batch.FileID
	number uint32
}

type chunkEntry struct {
	key   chunkKey
	chunk *wire.PutChunk
}

// maxCachedChunks bounds the cached payloads to 32 chunks of at most 256 KiB.
const maxCachedChunks = 32

func newChunkCache(log infra.Log, stream string) *chunkCache {
	return &chunkCache{log: log, stream: stream, lru: list.New(), items: make(map[chunkKey]*list.Element)}
}

// get returns a chunk, read from the log at offset if it is not cached.
func (c *chunkCache) get(ctx context.Context, file batch.FileID, number uint32, offset uint64) (*wire.PutChunk, error) {
	key := chunkKey{file: file, number: number}
	c.mu.Lock()
	if el, ok := c.items[key]; ok {
		c.lru.MoveToFront(el)
		c.mu.Unlock()
		return el.Value.(chunkEntry).chunk, nil
	}
	c.mu.Unlock()
	data, err := readRecord(ctx, c.log, c.stream, offset)
	if err != nil {
		return nil, err
	}
	chunk := batch.DecodeChunk(data, file, number)
	if chunk == nil {
		return nil, apierr.New(apierr.CodeInternal, "chunk is not where it should be")
	}
	c.put(key, chunk)
	return chunk, nil
}

func (c *chunkCache) put(key chunkKey, chunk *wire.PutChunk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if el, ok := c.items[key]; ok {
		c.lru.MoveToFront(el)
		return
	}
	c.items[key] = c.lru.PushFront(chunkEntry{key: key, chunk: chunk})
	for c.lru.Len() > maxCachedChunks {
		last := c.lru.Back()
		delete(c.items, last.Value.(chunkEntry).key)
		c.lru.Remove(last)
	}
}

// logReadTimeout bounds a read of one record.
const logReadTimeout = 3 * time.Second

// readRecord returns the data of the record at an offset. It fails with
// CodeLogUnavailable when the log cannot be read.
func readRecord(ctx context.Context, log infra.Log, stream string, offset uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	page, err := log.Read(ctx, stream, offset, 1, 0)
	if err != nil {
		return nil, apierr.New(apierr.CodeLogUnavailable, "reading the log: %v", err).WithRetryAfter(time.Second)
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return nil, apierr.New(apierr.CodeInternal, "record is not where it should be")
	}
	return page.Records[0].Data, nil
}
