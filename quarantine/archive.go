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
	// archiveReplicaCount is the number of partitions that each held request is written to,
	// since some of them may be unavailable.
	archiveReplicaCount = 3
	// archiveInterval is the time between two checks for changes. archiveRetryDelay is the
	// pause for a partition after a failed call.
	archiveInterval   = 250 * time.Millisecond
	archiveRetryDelay = time.Second
	archiveTimeout    = time.Second
)

// Archive persists held requests in the shared store. When all processes restart at once, no
// process is left to send its marks to the new ones, and each would have to observe the same
// crashes again.
type Archive struct {
	tracker  *Tracker
	store    store.Log
	log      logging.Logger
	replicas []*archiveReplica
}

// archiveReplica is one partition that stores the held requests.
type archiveReplica struct {
	partition store.Partition
	loaded    bool
	saved     map[Key]savedState // at the time of writing; zero if read from the store
	retryAt   time.Time          // time of the next call after a failed one; zero if the last succeeded
}

// savedState is the state of a held request that the store has.
type savedState struct {
	lastChange uint64 // see Suspect
	ambiguous  bool
}

// NewArchive returns an Archive that persists the held requests of tr in a topic with the given
// number of partitions.
func NewArchive(tr *Tracker, l store.Log, topic string, partitions int, log logging.Logger) *Archive {
	a := &Archive{tracker: tr, store: l, log: log}
	for _, p := range store.SpreadPartitions(topic, partitions, archiveReplicaCount) {
		a.replicas = append(a.replicas, &archiveReplica{partition: p, saved: make(map[Key]savedState)})
	}
	return a
}

// Run loads the stored requests and then writes changes, until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	for {
		suspects := a.tracker.Suspects()
		for _, rep := range a.replicas {
			if time.Now().Before(rep.retryAt) {
				continue
			}
			if err := a.reconcile(ctx, rep, suspects); err != nil {
				a.reportFailure(rep, err)
				rep.retryAt = time.Now().Add(archiveRetryDelay)
				continue
			}
			rep.retryAt = time.Time{}
		}
		if wait.For(ctx, archiveInterval) != nil {
			return
		}
	}
}

// reportFailure counts a failed call and logs the first one of each outage of a replica.
func (a *Archive) reportFailure(rep *archiveReplica, err error) {
	a.tracker.cfg.Metrics.Count("held_not_kept")
	if rep.retryAt.IsZero() {
		a.log.Warn("held requests not read from or written to the store; retrying", logging.F("partition", rep.partition.Number),
			logging.F("error", err.Error()))
	}
}

// reconcile loads a replica on the first call. Later calls write the held requests whose
// crashes this process observed and delete those that are no longer held.
func (a *Archive) reconcile(ctx context.Context, rep *archiveReplica, suspects []Suspect) error {
	if !rep.loaded {
		return a.load(ctx, rep)
	}
	held := make(map[Key]bool)
	for _, s := range suspects {
		if !s.Held {
			continue
		}
		held[s.Key] = true
		state := savedState{lastChange: s.LastChange, ambiguous: s.Ambiguous}
		if !s.Local || rep.saved[s.Key] == state {
			continue
		}
		for n := range s.Crashes {
			s.Crashes[n].Ambiguous = s.Ambiguous
		}
		value, err := proto.Marshal(toWire(s.Crashes))
		if err != nil {
			return err
		}
		if err := a.append(ctx, rep, s.Key, value); err != nil {
			return err
		}
		rep.saved[s.Key] = state
	}
	for key := range rep.saved {
		if held[key] {
			continue
		}
		if err := a.append(ctx, rep, key, nil); err != nil {
			return err
		}
		delete(rep.saved, key)
	}
	return nil
}

// load merges the marks of all requests that a replica stores.
func (a *Archive) load(ctx context.Context, rep *archiveReplica) error {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	all, err := store.NewestAll(ctx, a.store, rep.partition)
	if err != nil {
		return err
	}
	rep.loaded = true
	for _, rec := range all.Records {
		stored := &wire.CrashMarks{}
		key, err := ParseKey(rec.Key)
		if err == nil {
			err = proto.Unmarshal(rec.Value, stored)
		}
		if err != nil {
			a.log.Warn("record of a held request in the store cannot be decoded; skipped", logging.F("key", rec.Key), logging.F("error", err.Error()))
			continue
		}
		a.tracker.Merge(fromWire(stored), a)
		// The process that wrote the record may have ended, so each process that has read it
		// deletes it once the request is released.
		rep.saved[key] = savedState{}
	}
	return nil
}

func (a *Archive) append(ctx context.Context, rep *archiveReplica, key Key, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	_, err := a.store.Append(ctx, rep.partition, []store.Record{{Key: key.String(), Value: value}}, store.AnyEnd)
	return err
}
