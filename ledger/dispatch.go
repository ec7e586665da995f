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

// maxGrants bounds the items in one message to an agent.
const maxGrants = 256

// grantsFor picks items for an agent that asked, reads their payloads and, for
// non-idempotent ones, records their start. Nothing is granted before the
// grace period after a takeover, while results pile up, or on a drain.
func (o *Owner) grantsFor(ctx context.Context, f *feed) []*wire.Grant {
	picks := o.pick(f)
	if len(picks) == 0 {
		return nil
	}
	picks = o.recordStarts(ctx, f, picks)
	grants := make([]*wire.Grant, 0, len(picks))
	for _, pick := range picks {
		g, err := o.grant(ctx, pick)
		switch {
		case apierr.Is(err, apierr.CodeBadRequest):
			o.failItem(pick.Key, ReasonBadItem)
		case err != nil:
			o.giveBack(f.agent, pick.Key)
		default:
			grants = append(grants, g)
		}
	}
	return grants
}

func (o *Owner) pick(f *feed) []batch.Pick {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !o.owned() || o.draining || !f.declared || f.leaving || f.want <= 0 {
		return nil
	}
	if now.Sub(o.tookOver) < o.cfg.Grace || o.buffered >= o.cfg.MaxBuffered {
		return nil
	}
	o.disp.SetShares(o.cfg.Share)
	picks := o.disp.Grant(now, f.agent, min(f.want, maxGrants), f.models)
	f.want -= len(picks)
	return picks
}

// recordStarts makes the starts of non-idempotent items durable before they are
// granted. Without it a new owner could not tell which of them may have run, and
// would run one twice or not at all.
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
			o.giveBack(f.agent, pick.Key)
			continue
		}
		kept = append(kept, pick)
	}
	return kept
}

func (o *Owner) giveBack(agent string, key batch.ItemKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.disp.HandBack(key, agent)
}

func (o *Owner) failItem(key batch.ItemKey, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addOutcome(key, &wire.Outcome{Index: key.Index, Reason: reason}, ackRef{})
}

func (o *Owner) grant(ctx context.Context, pick batch.Pick) (*wire.Grant, error) {
	line, err := o.line(ctx, pick.Job, pick.Key.Index)
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

// line returns the caller's line of an item.
func (o *Owner) line(ctx context.Context, j *batch.Job, index uint32) ([]byte, error) {
	var file batch.FileID
	copy(file[:], j.Commit.GetFile())
	o.mu.Lock()
	f := o.part.File(file)
	if f == nil {
		o.mu.Unlock()
		return nil, apierr.New(apierr.CodeNotFound, "file is gone")
	}
	number, line, ok := f.Locate(index)
	off, known := f.ChunkOffset(number)
	o.mu.Unlock()
	if !ok || !known {
		return nil, apierr.New(apierr.CodeBadRequest, "no such item")
	}
	chunk, err := o.chunks.get(ctx, file, number, off)
	if err != nil {
		return nil, err
	}
	if int(line) >= len(chunk.GetLines()) {
		return nil, apierr.New(apierr.CodeBadRequest, "no such line")
	}
	return chunk.GetLines()[line], nil
}

// chunkCache keeps the chunks that are being granted or read.
type chunkCache struct {
	log    infra.Log
	stream string

	mu    sync.Mutex
	order *list.List // front is the most recent
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

// maxCachedChunks bounds the payloads in memory: 32 chunks of at most 256 KiB.
const maxCachedChunks = 32

func newChunkCache(log infra.Log, stream string) *chunkCache {
	return &chunkCache{log: log, stream: stream, order: list.New(), items: make(map[chunkKey]*list.Element)}
}

func (c *chunkCache) get(ctx context.Context, file batch.FileID, number uint32, offset uint64) (*wire.PutChunk, error) {
	key := chunkKey{file: file, number: number}
	c.mu.Lock()
	if el, ok := c.items[key]; ok {
		c.order.MoveToFront(el)
		c.mu.Unlock()
		return el.Value.(chunkEntry).chunk, nil
	}
	c.mu.Unlock()
	data, err := readOne(ctx, c.log, c.stream, offset)
	if err != nil {
		return nil, err
	}
	chunk := batch.ChunkIn(data, file, number)
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
		c.order.MoveToFront(el)
		return
	}
	c.items[key] = c.order.PushFront(chunkEntry{key: key, chunk: chunk})
	for c.order.Len() > maxCachedChunks {
		last := c.order.Back()
		delete(c.items, last.Value.(chunkEntry).key)
		c.order.Remove(last)
	}
}

// logReadTimeout bounds a read of one record.
const logReadTimeout = 3 * time.Second

// readOne returns the record at an offset.
func readOne(ctx context.Context, log infra.Log, stream string, offset uint64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	page, err := log.Read(ctx, stream, offset, 1, 0)
	if err != nil {
		return nil, apierr.New(apierr.CodeLogDown, "reading the log: %v", err).After(time.Second)
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return nil, apierr.New(apierr.CodeInternal, "record is not where it should be")
	}
	return page.Records[0].Data, nil
}
