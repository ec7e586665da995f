package fleet

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/wire"
)

// Copies keeps what is known of the fleet on partitions of the store other than
// those of the configuration and the registry. The store may be down for some
// partitions only; when every process has just started and these two are among
// them, nobody knows a target, and a whole fleet of sound ones serves nothing.
type Copies struct {
	log   store.Log
	topic string
	parts int // of the topic
	view  *View
	out   logging.Logger
	saved uint64 // changes of the view that were kept last
}

// Bounds of copies.
const (
	// copyCount is how many copies there are. With a third of all partitions
	// down, one in 27 outages takes all three.
	copyCount = 3
	copyKey   = "fleet"
	// maxCopyBytes fits one record.
	maxCopyBytes = 240 << 10
	copyTimeout  = 500 * time.Millisecond
)

// NewCopies returns Copies of a view.
func NewCopies(log store.Log, topic string, parts int, view *View, out logging.Logger) *Copies {
	return &Copies{log: log, topic: topic, parts: parts, view: view, out: out}
}

// partitions returns where the copies lie.
func (c *Copies) partitions() []store.Partition {
	return store.Spread(c.topic, c.parts, copyCount)
}

// Save keeps the view when it has changed since the last time.
func (c *Copies) Save(ctx context.Context, now time.Time) {
	changes := c.view.Changes()
	if changes == c.saved || !c.view.Ready() {
		return
	}
	raw, recs := c.view.Export()
	value, err := proto.Marshal(&wire.CatalogReply{Catalog: raw, Targets: store.ToWire(recs), SavedUnixMs: now.UnixMilli()})
	if err != nil || len(value) > maxCopyBytes {
		c.out.Warn("fleet not copied", logging.F("bytes", len(value)), logging.F("targets", len(recs)))
		c.saved = changes
		return
	}
	kept := 0
	for _, p := range c.partitions() {
		one, cancel := context.WithTimeout(ctx, copyTimeout)
		if _, err := c.log.Append(one, p, []store.Record{{Key: copyKey, Value: value}}, store.AnyEnd); err == nil {
			kept++
		}
		cancel()
	}
	if kept > 0 {
		c.saved = changes
	}
}

// Load offers the newest copy that can be read to the view.
func (c *Copies) Load(ctx context.Context) {
	var newest *wire.CatalogReply
	for _, p := range c.partitions() {
		if r := c.read(ctx, p); r != nil && (newest == nil || r.GetSavedUnixMs() > newest.GetSavedUnixMs()) {
			newest = r
		}
	}
	if newest != nil {
		c.view.Import(newest.GetCatalog(), store.FromWire(newest.GetTargets()), "copy")
	}
}

func (c *Copies) read(ctx context.Context, p store.Partition) *wire.CatalogReply {
	one, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	snap, err := c.log.Newest(one, p, "")
	if err != nil {
		return nil // it is one of several, and tried again
	}
	for _, r := range snap.Records {
		reply := &wire.CatalogReply{}
		if r.Key == copyKey && proto.Unmarshal(r.Value, reply) == nil {
			return reply
		}
	}
	return nil
}
