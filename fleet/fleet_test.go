package fleet_test

import (
	"fmt"
	"strconv"
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

// unreadable is a value that no registration has.
const unreadable = "\xff\x00"

// decoder reads a catalog that is its version, and an instance that is its address.
type decoder struct{}

func (decoder) CatalogKey() string { return "c" }

func (decoder) Catalog(value []byte) (*catalog.Catalog, error) {
	v, err := strconv.ParseInt(string(value), 10, 64)
	return catalog.New(v, catalog.Limits{}, nil, nil), err
}

func (decoder) Instance(id string, value []byte) (targets.Instance, error) {
	if len(value) == 0 || string(value) == unreadable {
		return targets.Instance{}, strconv.ErrSyntax
	}
	return targets.Instance{ID: id, Addr: string(value), Service: "s", Slots: 1}, nil
}

func newView() *fleet.View {
	return fleet.NewView(decoder{}, 1, logging.Logger{}, metrics.New("test"))
}

func filled(version string, ids ...string) *fleet.View {
	v := newView()
	v.CatalogSink().Reset([]store.Record{{Key: "c", Value: []byte(version)}})
	var recs []store.Record
	for i, id := range ids {
		recs = append(recs, store.Record{Key: id, Value: []byte(id), Offset: int64(i)})
	}
	v.TargetSink().Reset(recs)
	return v
}

const parts = 24

// Symptom: sound targets, and every request refused for three seconds.
// Sequence: all processes are killed while the store is down for a third of its
// partitions, the registry's among them.
// Cause: the registry was the only place that names the targets.
func TestACopyStandsInForTheRegistry(t *testing.T) {
	s := sharedstore.New(parts)
	c := fleet.NewCopies(s.For("a"), "copies", parts, filled("7", "i0", "i1"), logging.Logger{})
	c.Save(t.Context(), time.Now())
	// Two of the three copies are down as well.
	s.SetDown(store.Partition{Topic: "copies", Number: 0}, true)
	s.SetDown(store.Partition{Topic: "copies", Number: 8}, true)
	v := newView()
	fleet.NewCopies(s.For("b"), "copies", parts, v, logging.Logger{}).Load(t.Context())
	if !v.Ready() || v.Catalog().Version != 7 || len(v.Instances()) != 2 {
		t.Fatalf("ready %v, %d targets", v.Ready(), len(v.Instances()))
	}
}

// Symptom: one entry gives live targets nothing for good; items of its partitions
// are left lying.
// Sequence: all hosts lost power; new instances have registered at the addresses of
// the old ones, whose registrations are still there; an entry starts and learns
// of them from a peer or a copy before the registry.
// Cause: what was told had no order, so the old instances seemed the last to
// register.
func TestWhatAPeerTellsKeepsItsOrder(t *testing.T) {
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
	s := sharedstore.New(parts)
	fleet.NewCopies(s.For("a"), "copies", parts, v, logging.Logger{}).Save(t.Context(), time.Now())
	fromCopy, fromPeer := newView(), newView()
	fleet.NewCopies(s.For("b"), "copies", parts, fromCopy, logging.Logger{}).Load(t.Context())
	raw, told := v.Export()
	fromPeer.Import(raw, store.FromWire(store.ToWire(told)), "peer")
	for name, got := range map[string]*fleet.View{"copy": fromCopy, "peer": fromPeer} {
		for _, in := range got.Instances() {
			if in.Superseded != (in.ID[:3] == "old") {
				t.Errorf("from a %s: %s is superseded: %v", name, in.ID, in.Superseded)
			}
		}
	}
}

// Symptom: an old copy takes back what is in force, or brings gone targets back.
func TestACopyNeverWinsOverWhatIsKnown(t *testing.T) {
	s := sharedstore.New(parts)
	fleet.NewCopies(s.For("a"), "copies", parts, filled("7", "old"), logging.Logger{}).Save(t.Context(), time.Now())
	v := filled("9", "new")
	fleet.NewCopies(s.For("b"), "copies", parts, v, logging.Logger{}).Load(t.Context())
	if got := v.Instances(); v.Catalog().Version != 9 || len(got) != 1 || got[0].ID != "new" {
		t.Fatalf("version %d, targets %v", v.Catalog().Version, got)
	}
	// And the registry itself replaces what a copy told.
	late := newView()
	fleet.NewCopies(s.For("b"), "copies", parts, late, logging.Logger{}).Load(t.Context())
	late.TargetSink().Reset([]store.Record{{Key: "now", Value: []byte("now")}})
	if got := late.Instances(); len(got) != 1 || got[0].ID != "now" {
		t.Fatalf("targets %v", got)
	}
}

// The newest of the copies that can be read counts, and nothing is written when
// nothing changed.
func TestTheNewestCopyCounts(t *testing.T) {
	s := sharedstore.New(parts)
	old := fleet.NewCopies(s.For("a"), "copies", parts, filled("7"), logging.Logger{})
	old.Save(t.Context(), time.UnixMilli(1000))
	before := s.Calls()
	old.Save(t.Context(), time.UnixMilli(2000))
	if s.Calls() != before {
		t.Fatal("the same was copied again")
	}
	s.SetDown(store.Partition{Topic: "copies", Number: 0}, true)
	fleet.NewCopies(s.For("a"), "copies", parts, filled("8"), logging.Logger{}).Save(t.Context(), time.UnixMilli(3000))
	s.SetDown(store.Partition{Topic: "copies", Number: 0}, false)
	v := newView()
	fleet.NewCopies(s.For("b"), "copies", parts, v, logging.Logger{}).Load(t.Context())
	if v.Catalog().Version != 8 {
		t.Fatalf("version %d", v.Catalog().Version)
	}
}

// Symptom: a record that cannot be read leaves a node without configuration.
func TestWhatCannotBeReadChangesNothing(t *testing.T) {
	v := filled("3", "i0")
	v.CatalogSink().Apply(store.Record{Key: "c", Value: []byte("not a number")})
	v.CatalogSink().Apply(store.Record{Key: "other", Value: []byte("99")})
	if v.Catalog().Version != 3 {
		t.Fatalf("version %d", v.Catalog().Version)
	}
}

// Symptom: connections to targets that are gone stay open, and new ones get none.
func TestChangesAreTold(t *testing.T) {
	v := newView()
	var told []string
	v.OnChange(func(all []targets.Instance) { told = append(told, fmt.Sprint(len(all))) })
	sink := v.TargetSink()
	sink.Reset([]store.Record{{Key: "a", Value: []byte("a")}})
	sink.Apply(store.Record{Key: "a", Value: []byte("a"), Offset: 1}) // a heartbeat
	sink.Apply(store.Record{Key: "b", Value: []byte("b"), Offset: 2})
	sink.Apply(store.Record{Key: "a", Offset: 3})
	if got := fmt.Sprint(told); got != "[1 2 1]" {
		t.Fatalf("told %v", told)
	}
}

// Symptom: all targets of a service are unknown, or one is used that nobody
// vouches for any more.
// Sequence: another writer puts bytes that cannot be read into the registry, also
// over a live target's entry; the target's next heartbeat follows.
// Cause: one bad entry spoiled the rest, or the one before it was still believed.
func TestAnUnreadableRegistrationCostsOnlyItself(t *testing.T) {
	v := newView()
	v.TargetSink().Reset([]store.Record{
		{Key: "a", Value: []byte("10.0.0.1:1")}, {Key: "bad", Value: []byte(unreadable), Offset: 1}, {Key: "b", Value: []byte("10.0.0.2:1"), Offset: 2},
	})
	if got := v.Instances(); len(got) != 2 {
		t.Fatalf("targets %v", got)
	}
	v.TargetSink().Apply(store.Record{Key: "a", Value: []byte(unreadable), Offset: 3})
	used := func() (out []string) {
		for _, in := range v.Instances() {
			if !in.Superseded {
				out = append(out, in.ID)
			}
		}
		return out
	}
	if got := used(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("used %v", got)
	}
	v.TargetSink().Apply(store.Record{Key: "a", Value: []byte("10.0.0.1:1"), Offset: 4})
	if got := used(); len(got) != 2 {
		t.Fatalf("used %v after the next heartbeat", got)
	}
}

// Symptom: after all power was lost, first events come late for seconds at the smallest
// hosts, though all targets are back; their logs have 360 lines each of targets that went.
// Sequence: 180 targets register anew at their addresses, and the entries of the old ones
// lapse; all of it is read within a second.
// Cause: each record was a change of its own: the registry compared, told on, logged.
func TestRecordsThatComeTogetherAreOneChange(t *testing.T) {
	const count = 180
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprint("old", i))
	}
	v := filled("1", ids...)
	told := 0
	var last []targets.Instance
	v.OnChange(func(all []targets.Instance) { told, last = told+1, all })
	var recs []store.Record
	for i, id := range ids {
		recs = append(recs, store.Record{Key: fmt.Sprint("new", i), Value: []byte(id), Offset: int64(count + i)})
	}
	for i, id := range ids {
		recs = append(recs, store.Record{Key: id, Offset: int64(2*count + i)})
	}
	v.TargetSink().Apply(recs...)
	if told != 1 {
		t.Errorf("told of %d changes", told)
	}
	if len(last) != count {
		t.Fatalf("%d targets", len(last))
	}
	for _, in := range last {
		if in.Superseded {
			t.Errorf("%s is taken for gone", in.ID)
		}
	}
	var beats []store.Record
	for i, id := range ids {
		beats = append(beats, store.Record{Key: fmt.Sprint("new", i), Value: []byte(id), Offset: int64(3*count + i)})
	}
	v.TargetSink().Apply(beats...)
	if told != 1 {
		t.Error("heartbeats are told as a change")
	}
}
