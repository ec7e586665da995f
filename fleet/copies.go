package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/wire"
)

// Copies saves a View to partitions of the store other than those of the
// configuration and the registry. The store can fail for some partitions only: if
// these two are among them while every process restarts, no process knows a target
// and a healthy fleet serves no request.
type Copies struct {
	log           store.Log
	topic         string
	numPartitions int // partitions of the topic
	view          *View
	logger        logging.Logger
	savedChanges  uint64 // change count of the view at the last save
}

// Limits of the copies.
const (
	// copyCount is the number of partitions with a copy. With a third of all
	// partitions down, one outage in 27 affects all three.
	copyCount = 3
	copyKey   = "fleet"
	// maxCopyBytes keeps a copy within the size limit of one record.
	maxCopyBytes = 240 << 10
	copyTimeout  = 500 * time.Millisecond
)

// NewCopies returns Copies that save and load view on a topic with numPartitions
// partitions.
func NewCopies(log store.Log, topic string, numPartitions int, view *View, logger logging.Logger) *Copies {
	return &Copies{log: log, topic: topic, numPartitions: numPartitions, view: view, logger: logger}
}

// partitions returns the partitions that hold the copies.
func (c *Copies) partitions() []store.Partition {
	return store.SpreadPartitions(c.topic, c.numPartitions, copyCount)
}

// Save writes the view to all copies if it has changed since the last save. A save
// that reaches at least one partition counts as done.
func (c *Copies) Save(ctx context.Context, now time.Time) {
	changes := c.view.ChangeCount()
	if changes == c.savedChanges || !c.view.Ready() {
		return
	}
	raw, recs := c.view.Export()
	value, err := proto.Marshal(&wire.CatalogReply{Catalog: raw, Targets: store.ToWire(recs), SavedUnixMs: now.UnixMilli()})
	if err != nil || len(value) > maxCopyBytes {
		c.logger.Warn("fleet copy not saved: encoding failed or it exceeds one record", logging.F("bytes", len(value)), logging.F("targets", len(recs)))
		c.savedChanges = changes
		return
	}
	written := 0
	for _, p := range c.partitions() {
		callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		if _, err := c.log.Append(callCtx, p, []store.Record{{Key: copyKey, Value: value}}, store.AnyEnd); err == nil {
			written++
		}
		cancel()
	}
	if written > 0 {
		c.savedChanges = changes
	}
}

// Load imports the newest readable copy into the view.
func (c *Copies) Load(ctx context.Context) {
	var newest *wire.CatalogReply
	for _, p := range c.partitions() {
		if r := c.readCopy(ctx, p); r != nil && (newest == nil || r.GetSavedUnixMs() > newest.GetSavedUnixMs()) {
			newest = r
		}
	}
	if newest != nil {
		c.view.Import(newest.GetCatalog(), store.FromWire(newest.GetTargets()), "copy")
	}
}

func (c *Copies) readCopy(ctx context.Context, p store.Partition) *wire.CatalogReply {
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	snap, err := c.log.Newest(callCtx, p, "")
	if err != nil {
		return nil // the other copies may be readable, and the caller retries
	}
	for _, r := range snap.Records {
		reply := &wire.CatalogReply{}
		if r.Key == copyKey && proto.Unmarshal(r.Value, reply) == nil {
			return reply
		}
	}
	return nil
}
