package quarantine

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pumiceford/internal/wait"
	"pumiceford/logging"
	"pumiceford/store"
	"pumiceford/wire"
)

// Intervals and bounds of an Archive.
const (
	// archiveCopies is how many partitions keep a held request: some of them may be away.
	archiveCopies = 3
	// archiveEvery is how often changes are looked for, archivePause is left after a call
	// that failed.
	archiveEvery   = 250 * time.Millisecond
	archivePause   = time.Second
	archiveTimeout = time.Second
)

// Archive keeps held requests on the shared store. When all processes have ended at once
// nobody is left to tell the new ones, and each would learn anew by crashed targets.
type Archive struct {
	keeper *Keeper
	store  store.Log
	log    logging.Logger
	copies []*archiveCopy
}

// archiveCopy is one partition that keeps the held requests.
type archiveCopy struct {
	partition store.Partition
	read      bool
	kept      map[Key]uint64 // by request, its last change when it was kept; 0 as it was read
	pause     time.Time      // it did not answer, and is left alone until then
}

// NewArchive returns an Archive of a Keeper on a topic with so many partitions.
func NewArchive(k *Keeper, l store.Log, topic string, parts int, log logging.Logger) *Archive {
	a := &Archive{keeper: k, store: l, log: log}
	for _, p := range store.Spread(topic, parts, archiveCopies) {
		a.copies = append(a.copies, &archiveCopy{partition: p, kept: make(map[Key]uint64)})
	}
	return a
}

// Run reads what is kept and keeps what comes, until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	for {
		cases := a.keeper.Cases()
		for _, c := range a.copies {
			if time.Now().Before(c.pause) {
				continue
			}
			if err := a.update(ctx, c, cases); err != nil {
				a.tell(c, err)
				c.pause = time.Now().Add(archivePause)
				continue
			}
			c.pause = time.Time{}
		}
		if wait.For(ctx, archiveEvery) != nil {
			return
		}
	}
}

// tell logs that a copy does not answer, once for each time that it is away.
func (a *Archive) tell(c *archiveCopy, err error) {
	a.keeper.cfg.Metrics.Count("held_not_kept")
	if c.pause.IsZero() {
		a.log.Warn("held requests not read or kept; tried again", logging.F("partition", c.partition.Number),
			logging.F("error", err.Error()))
	}
}

// update reads a copy once, then keeps the held requests whose crashes this process saw,
// and drops those that are not held any more.
func (a *Archive) update(ctx context.Context, c *archiveCopy, cases []Case) error {
	if !c.read {
		return a.load(ctx, c)
	}
	held := make(map[Key]bool)
	for _, one := range cases {
		if !one.Held {
			continue
		}
		held[one.Key] = true
		if !one.Own || c.kept[one.Key] == one.Change {
			continue
		}
		value, err := proto.Marshal(toWire(one.Crashes))
		if err != nil {
			return err
		}
		if err := a.append(ctx, c, one.Key, value); err != nil {
			return err
		}
		c.kept[one.Key] = one.Change
	}
	for key := range c.kept {
		if held[key] {
			continue
		}
		if err := a.append(ctx, c, key, nil); err != nil {
			return err
		}
		delete(c.kept, key)
	}
	return nil
}

// load reads a copy.
func (a *Archive) load(ctx context.Context, c *archiveCopy) error {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	all, err := store.NewestAll(ctx, a.store, c.partition)
	if err != nil {
		return err
	}
	c.read = true
	for _, r := range all.Records {
		kept := &wire.Marks{}
		key, err := ParseKey(r.Key)
		if err == nil {
			err = proto.Unmarshal(r.Value, kept)
		}
		if err != nil {
			a.log.Warn("held request on the store cannot be read", logging.F("key", r.Key), logging.F("error", err.Error()))
			continue
		}
		a.keeper.Merge(fromWire(kept), a)
		// Whoever kept it may be gone, so it is dropped by all that read it.
		c.kept[key] = 0
	}
	return nil
}

func (a *Archive) append(ctx context.Context, c *archiveCopy, key Key, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	_, err := a.store.Append(ctx, c.partition, []store.Record{{Key: key.String(), Value: value}}, store.AnyEnd)
	return err
}
