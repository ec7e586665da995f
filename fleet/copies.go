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
func (c *Copies) Save(ctx context.Context) {
	changes := c.view.ChangeCount()
	if changes == c.savedChanges || !c.view.Ready() {
		return
	}
	snap := c.view.Export()
	value, err := proto.Marshal(snap.ToWire())
	if err != nil || len(value) > maxCopyBytes {
		c.logger.Warn("fleet copy not saved: encoding failed or it exceeds one record", logging.F("bytes", len(value)), logging.F("targets", len(snap.Targets)))
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

// Load imports the readable copies into the view. They may be of different age: the catalog with
// the highest version stays in force, and so do the registrations read up to the highest offset.
func (c *Copies) Load(ctx context.Context) {
	for _, p := range c.partitions() {
		if r := c.readCopy(ctx, p); r != nil {
			c.view.Import(SnapshotFromWire(r), "copy")
		}
	}
}

// ToWire encodes a snapshot for the wire and for stored copies.
func (s Snapshot) ToWire() *wire.CatalogReply {
	return &wire.CatalogReply{Catalog: s.Catalog, Targets: store.ToWire(s.Targets), RegistryEnd: s.RegistryEnd}
}

// SnapshotFromWire decodes a snapshot encoded by ToWire.
func SnapshotFromWire(r *wire.CatalogReply) Snapshot {
	return Snapshot{Catalog: r.GetCatalog(), Targets: store.FromWire(r.GetTargets()), RegistryEnd: r.GetRegistryEnd()}
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
