package fleet_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"pumiceford/catalog"
	"pumiceford/fleet"
	"pumiceford/logging"
	"pumiceford/metrics"
	"pumiceford/standin/sharedstore"
	"pumiceford/store"
	"pumiceford/targets"
)

// unreadableValue is a registration that decoder rejects.
const unreadableValue = "\xff\x00"

// decoder decodes a catalog that consists of its version and an instance that consists of
// its address.
type decoder struct{}

func (decoder) CatalogKey() string { return "c" }

func (decoder) Catalog(value []byte) (*catalog.Catalog, error) {
	v, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.New(v, catalog.Limits{}, nil, nil), err
}

func (decoder) Instance(id string, value []byte) (targets.Instance, error) {
	if len(value) == 0 || string(value) == unreadableValue {
		return targets.Instance{}, strconv.ErrSyntax
	}
	return targets.Instance{ID: id, Addr: string(value), Service: "s", Slots: 1}, nil
}

func newView() *fleet.View {
	return fleet.NewView(decoder{}, 1, logging.Logger{}, metrics.New("test"))
}

func filledView(version string, ids ...string) *fleet.View {
	v := newView()
	v.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte(version)}})
	var recs []store.Record
	for i, id := range ids {
		recs = append(recs, store.Record{Key: id, Value: []byte(id), Offset: int64(i)})
	}
	v.TargetSink().Reset(recs)
	return v
}

const numPartitions = 24

// Guards against every request being refused for three seconds although the targets are
// healthy: all processes restart while a third of the store's partitions is down, the
// registry's among them, and the registry is the only place that lists the targets.
func TestLoadsCopyWhileRegistryIsDown(t *testing.T) {
	s := sharedstore.New(numPartitions)
	c := fleet.NewCopies(s.ClientFor("a"), "copies", numPartitions, filledView("7", "i0", "i1"), logging.Logger{})
	c.Save(t.Context())
	// Two of the three partitions with copies are down as well.
	s.SetPartitionDown(store.Partition{Topic: "copies", Number: 0}, true)
	s.SetPartitionDown(store.Partition{Topic: "copies", Number: 8}, true)
	v := newView()
	fleet.NewCopies(s.ClientFor("b"), "copies", numPartitions, v, logging.Logger{}).Load(t.Context())
	if !v.Ready() || v.Catalog().Version != 7 || len(v.Instances()) != 2 {
		t.Fatalf("got ready %v and %d targets, want true, catalog version 7 and 2 targets", v.Ready(), len(v.Instances()))
	}
}

// Guards against an entry that never sends requests to live targets, so that items of its
// partitions are not run. After a power loss of all hosts new instances register at the
// addresses of old ones whose registrations still exist. If an entry then loads an export
// of a peer or a copy without its order, the old instances appear to be the newer ones.
func TestImportKeepsRegistrationOrder(t *testing.T) {
	const pairs = 20
	v := newView()
	var recs []store.Record
	for i := range pairs {
		addr := []byte(fmt.Sprint("10.0.0.", i))
		recs = append(recs, store.Record{Key: fmt.Sprint("old", i), Value: addr, Offset: int64(i)},
			store.Record{Key: fmt.Sprint("new", i), Value: addr, Offset: int64(pairs + i)})
	}
	v.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte("1")}})
	v.TargetSink().Reset(recs)
	s := sharedstore.New(numPartitions)
	fleet.NewCopies(s.ClientFor("a"), "copies", numPartitions, v, logging.Logger{}).Save(t.Context())
	fromCopy, fromPeer := newView(), newView()
	fleet.NewCopies(s.ClientFor("b"), "copies", numPartitions, fromCopy, logging.Logger{}).Load(t.Context())
	fromPeer.Import(fleet.SnapshotFromWire(v.Export().ToWire()), "peer")
	for name, got := range map[string]*fleet.View{"copy": fromCopy, "peer": fromPeer} {
		for _, in := range got.Instances() {
			if in.Superseded != (in.ID[:3] == "old") {
				t.Errorf("from a %s: instance %s: got Superseded %v", name, in.ID, in.Superseded)
			}
		}
	}
}

// Guards against an old copy that reverts the catalog in force or restores targets that
// have left.
func TestCopyDoesNotOverrideKnownState(t *testing.T) {
	s := sharedstore.New(numPartitions)
	fleet.NewCopies(s.ClientFor("a"), "copies", numPartitions, filledView("7", "old"), logging.Logger{}).Save(t.Context())
	v := filledView("9", "new")
	fleet.NewCopies(s.ClientFor("b"), "copies", numPartitions, v, logging.Logger{}).Load(t.Context())
	if got := v.Instances(); v.Catalog().Version != 9 || len(got) != 1 || got[0].ID != "new" {
		t.Fatalf("got version %d, targets %v, want version 9 and only target new", v.Catalog().Version, got)
	}
	// The registry itself replaces targets loaded from a copy.
	late := newView()
	fleet.NewCopies(s.ClientFor("b"), "copies", numPartitions, late, logging.Logger{}).Load(t.Context())
	late.TargetSink().Reset([]store.Record{{Key: "now", Value: []byte("now")}})
	if got := late.Instances(); len(got) != 1 || got[0].ID != "now" {
		t.Fatalf("got targets %v, want only target now", got)
	}
}

// Load uses the newest readable copy, and Save writes nothing if nothing has changed.
func TestLoadsNewestCopy(t *testing.T) {
	s := sharedstore.New(numPartitions)
	old := fleet.NewCopies(s.ClientFor("a"), "copies", numPartitions, filledView("7"), logging.Logger{})
	old.Save(t.Context())
	before := s.CallCount()
	old.Save(t.Context())
	if s.CallCount() != before {
		t.Fatal("unchanged view was saved again")
	}
	s.SetPartitionDown(store.Partition{Topic: "copies", Number: 0}, true)
	fleet.NewCopies(s.ClientFor("a"), "copies", numPartitions, filledView("8"), logging.Logger{}).Save(t.Context())
	s.SetPartitionDown(store.Partition{Topic: "copies", Number: 0}, false)
	v := newView()
	fleet.NewCopies(s.ClientFor("b"), "copies", numPartitions, v, logging.Logger{}).Load(t.Context())
	if v.Catalog().Version != 8 {
		t.Fatalf("got version %d, want 8", v.Catalog().Version)
	}
}

// Guards against targets that have left coming back from an older copy. Copies are as new as what
// was read of the registry, whenever and by whichever clock they were saved.
func TestCopyReadFurthestIsUsed(t *testing.T) {
	for _, oldFirst := range []bool{true, false} {
		s := sharedstore.New(numPartitions)
		save := func(v *fleet.View, number int) {
			for n := range numPartitions {
				s.SetPartitionDown(store.Partition{Topic: "copies", Number: n}, n != number)
			}
			fleet.NewCopies(s.ClientFor("a"), "copies", numPartitions, v, logging.Logger{}).Save(t.Context())
			for n := range numPartitions {
				s.SetPartitionDown(store.Partition{Topic: "copies", Number: n}, false)
			}
		}
		older, newer := filledView("7", "stays", "leaves"), filledView("7", "stays", "leaves")
		newer.TargetSink().Apply(store.Record{Key: "leaves", Offset: 9})
		first, second := 0, 8 // partitions in the order in which they are read
		if oldFirst {
			save(newer, second)
			save(older, first)
		} else {
			save(newer, first)
			save(older, second)
		}
		v := newView()
		fleet.NewCopies(s.ClientFor("b"), "copies", numPartitions, v, logging.Logger{}).Load(t.Context())
		if got := v.Instances(); len(got) != 1 || got[0].ID != "stays" {
			t.Errorf("older copy read first %v: got %v, want only the target that stays", oldFirst, got)
		}
	}
}

// Guards against the registrations of a peer that has lost the store, or of a copy, in place of
// those that were read from the store meanwhile.
func TestImportDoesNotReplaceWhatWasReadFromTheStore(t *testing.T) {
	older := filledView("7", "stays", "leaves").Export()
	newer := filledView("7", "gone", "gone", "stays")
	v := newView()
	v.Import(older, "peer")
	v.Import(newer.Export(), "peer")
	if got := v.Instances(); len(got) != 2 || got[0].ID != "gone" {
		t.Fatalf("got %v, want the targets of the peer that has read further", got)
	}
	v.TargetSink().Reset([]store.Record{{Key: "stays", Value: []byte("stays"), Offset: 1}})
	v.Import(newer.Export(), "peer")
	if got := v.Instances(); len(got) != 1 || got[0].ID != "stays" {
		t.Fatalf("got %v, want what was read from the store", got)
	}
}

// Guards against a record that cannot be decoded leaving a node without configuration.
func TestIgnoresUnreadableCatalog(t *testing.T) {
	v := filledView("3", "i0")
	v.CatalogSink().Apply(store.Record{Key: "c", Value: []byte("not a number")})
	v.CatalogSink().Apply(store.Record{Key: "other", Value: []byte("99")})
	if v.Catalog().Version != 3 {
		t.Fatalf("got version %d, want 3", v.Catalog().Version)
	}
}

// Guards against connections that stay open to targets that have left, and none being
// opened to new ones.
func TestNotifiesOnTargetChanges(t *testing.T) {
	v := newView()
	var counts []string
	v.OnTargetChange(func(all []targets.Instance) { counts = append(counts, fmt.Sprint(len(all))) })
	sink := v.TargetSink()
	sink.Reset([]store.Record{{Key: "a", Value: []byte("a")}})
	sink.Apply(store.Record{Key: "a", Value: []byte("a"), Offset: 1}) // a heartbeat
	sink.Apply(store.Record{Key: "b", Value: []byte("b"), Offset: 2})
	sink.Apply(store.Record{Key: "a", Offset: 3})
	if got := fmt.Sprint(counts); got != "[1 2 1]" {
		t.Fatalf("notified of instance counts %v, want [1 2 1]", counts)
	}
}

// Guards against one unreadable registration making all targets of a service unknown, or
// leaving a target in use by its overwritten registration. Another writer puts undecodable
// bytes into the registry, also over the entry of a live target, whose next heartbeat
// follows.
func TestUnreadableRegistrationAffectsOnlyItsTarget(t *testing.T) {
	v := newView()
	v.TargetSink().Reset([]store.Record{
		{Key: "a", Value: []byte("10.0.0.1:1")}, {Key: "bad", Value: []byte(unreadableValue), Offset: 1}, {Key: "b", Value: []byte("10.0.0.2:1"), Offset: 2},
	})
	if got := v.Instances(); len(got) != 2 {
		t.Fatalf("got targets %v, want 2", got)
	}
	v.TargetSink().Apply(store.Record{Key: "a", Value: []byte(unreadableValue), Offset: 3})
	usable := func() (out []string) {
		for _, in := range v.Instances() {
			if !in.Superseded {
				out = append(out, in.ID)
			}
		}
		return out
	}
	if got := usable(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("got usable targets %v, want only b", got)
	}
	v.TargetSink().Apply(store.Record{Key: "a", Value: []byte("10.0.0.1:1"), Offset: 4})
	if got := usable(); len(got) != 2 {
		t.Fatalf("got usable targets %v after the next heartbeat, want 2", got)
	}
}

// Guards against late first events for seconds on the smallest hosts after a power loss of
// all hosts, although all targets are back. 180 targets register again at their addresses and
// the old registrations lapse, all within a second. If each record is a change of its own,
// each one compares the whole registry, notifies of the change and logs it, in 360 log lines
// per host.
func TestAppliesRecordBatchAsOneChange(t *testing.T) {
	const count = 180
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprint("old", i))
	}
	v := filledView("1", ids...)
	notified := 0
	var last []targets.Instance
	v.OnTargetChange(func(all []targets.Instance) { notified, last = notified+1, all })
	var recs []store.Record
	for i, id := range ids {
		recs = append(recs, store.Record{Key: fmt.Sprint("new", i), Value: []byte(id), Offset: int64(count + i)})
	}
	for i, id := range ids {
		recs = append(recs, store.Record{Key: id, Offset: int64(2*count + i)})
	}
	v.TargetSink().Apply(recs...)
	if notified != 1 {
		t.Errorf("notified of %d changes, want 1", notified)
	}
	if len(last) != count {
		t.Fatalf("got %d targets, want one per address", len(last))
	}
	for _, in := range last {
		if in.Superseded {
			t.Errorf("instance %s is marked as superseded", in.ID)
		}
	}
	var heartbeats []store.Record
	for i, id := range ids {
		heartbeats = append(heartbeats, store.Record{Key: fmt.Sprint("new", i), Value: []byte(id), Offset: int64(3*count + i)})
	}
	v.TargetSink().Apply(heartbeats...)
	if notified != 1 {
		t.Error("notified of heartbeats as a change")
	}
}

// serviceDecoder decodes a catalog whose only service is named by the number of its version.
type serviceDecoder struct{ decoder }

func (serviceDecoder) Catalog(value []byte) (*catalog.Catalog, error) {
	v, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.New(v, catalog.Limits{}, []catalog.Service{{Name: fmt.Sprint("s", v)}}, nil), err
}

// Guards against targets of a service that are not followed after a catalog has added it: a change of
// the services is told like a change of the targets.
func TestNotifiesOnServiceChanges(t *testing.T) {
	v := fleet.NewView(serviceDecoder{}, 1, logging.Logger{}, metrics.New("test"))
	var configured []string
	v.OnTargetChange(func([]targets.Instance) {
		configured = append(configured, fmt.Sprint(v.IsConfigured("s1"), v.IsConfigured("s2")))
	})
	for _, version := range []string{"1", "1", "2"} {
		v.CatalogSink().Apply(store.Record{Key: "c", Value: []byte(version)})
	}
	if want := "[true false false true]"; fmt.Sprint(configured) != want {
		t.Fatalf("notified with services configured %v, want %s", configured, want)
	}
}

// bornDecoder decodes an instance from its start time and address, such as "7 10.0.0.1:1".
type bornDecoder struct{ decoder }

func (bornDecoder) Instance(id string, value []byte) (targets.Instance, error) {
	in := targets.Instance{ID: id, Service: "s", Slots: 1}
	_, err := fmt.Sscan(string(value), &in.StartedUnixMs, &in.Addr)
	return in, err
}

// Guards against entries that have just started and believe a write that the registry applied late:
// what a peer exports is what it believes.
func TestExportLeavesOutWritesAppliedLate(t *testing.T) {
	bornView := func() *fleet.View { return fleet.NewView(bornDecoder{}, 1, logging.Logger{}, metrics.New("test")) }
	v := bornView()
	v.TargetSink().Reset([]store.Record{{Key: "a", Value: []byte("9000 10.0.0.1:1")}})
	for n, value := range []string{"7000 10.0.0.2:1", "9000 10.0.0.1:1"} {
		v.TargetSink().Apply(store.Record{Key: "a", Value: []byte(value), Offset: int64(n + 1)})
	}
	started := bornView()
	started.Import(v.Export(), "peer")
	if got := started.Instances(); len(got) != 1 || got[0].Addr != "10.0.0.2:1" {
		t.Fatalf("got %+v, want the target that has restarted", got)
	}
	if end := v.Export().RegistryEnd; end != 3 {
		t.Fatalf("registry read up to %d, want 3", end)
	}
}

// Guards against agents of targets that have left, or of none, being followed until the next change:
// the catalog and the registry change at the same time, and the older notice comes last.
func TestLastNoticeHasTheNewestTargets(t *testing.T) {
	v := newView()
	entered, release, blocked := make(chan bool), make(chan bool), false
	last := -1
	v.OnTargetChange(func(all []targets.Instance) {
		if !blocked {
			blocked = true
			entered <- true
			<-release
		}
		last = len(all)
	})
	var changes sync.WaitGroup
	changes.Go(func() { v.CatalogSink().Apply(store.Record{Key: "c", Value: []byte("1")}) })
	<-entered
	changes.Go(func() { v.TargetSink().Reset([]store.Record{{Key: "a", Value: []byte("a")}}) })
	for len(v.Instances()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // the notice of the second change comes, or waits
	close(release)
	changes.Wait()
	if last != 1 {
		t.Fatalf("the last notice had %d targets, want 1", last)
	}
}
