package jobs_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pumiceford/jobs"
	"pumiceford/store"
	"pumiceford/wire"
)

func spec(id string, items, bodyBytes int) *wire.JobSpec {
	s := &wire.JobSpec{Id: id, Host: "h", Path: "/p/"}
	for i := range items {
		s.Items = append(s.Items, &wire.JobItem{Id: fmt.Sprint(id, "-", i), Path: "/p/x", Body: bytes.Repeat([]byte{byte(i)}, bodyBytes)})
	}
	return s
}

// newTable returns a table whose records must all be readable.
func newTable(t *testing.T) *jobs.Table {
	return jobs.NewTable(func(key string, err error) { t.Errorf("record %s: %v", key, err) })
}

// Symptom: results are missing and no log line says why.
// Sequence: a record is damaged, or a newer version's.
// Cause: records that could not be folded were counted and told nowhere.
func TestUnreadableRecordsAreTold(t *testing.T) {
	var told []string
	tab := jobs.NewTable(func(key string, _ error) { told = append(told, key) })
	apply(tab, []store.Record{{Key: "no/such", Value: []byte("x")}, {Key: "job/spec/000000/000", Value: []byte{0xff}}})
	if !slices.Equal(told, []string{"no/such", "job/spec/000000/000"}) {
		t.Fatalf("told of %v", told)
	}
}

// fingerprint tells all that callers can read of a job.
func fingerprint(t *jobs.Table, id string) string {
	j := t.Get(id)
	if j == nil {
		return "none"
	}
	out := fmt.Sprint(j.Total(), j.Ended, j.Listed())
	for n := range j.Listed() {
		r := j.Result(n)
		out += fmt.Sprint("|", r.Item, r.Dead, len(r.Text))
	}
	return out
}

// Symptom: two nodes tell different results of one job, or one node others than
// before its restart.
// Sequence: records are folded twice after the history was forgotten, or in the
// order of their keys instead of the log's.
// Cause: a fold that depends on how often and in which order it sees a record.
func TestFoldIsIndependentOfOrderAndCopies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := newTable(t)
		var all []store.Record
		add := func(recs []store.Record, err error) {
			if err != nil {
				rt.Fatal(err)
			}
			for _, r := range recs {
				log.Apply(r)
				all = append(all, r)
			}
		}
		items := rapid.IntRange(1, 6).Draw(rt, "items")
		// Bodies of up to 500 KB make values of several records.
		size := rapid.SampledFrom([]int{10, 1000, 300 << 10, 500 << 10}).Draw(rt, "size")
		add(log.Accept(spec("job", items, size)))
		for range rapid.IntRange(0, 10).Draw(rt, "steps") {
			item := rapid.IntRange(0, items-1).Draw(rt, "item")
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				add(log.Fail("job", item, rapid.IntRange(1, 3).Draw(rt, "failed"), false))
			case 1:
				add(log.End("job"))
			default:
				text := bytes.Repeat([]byte("x"), rapid.SampledFrom([]int{0, 50, 400 << 10}).Draw(rt, "text"))
				add(log.List([]jobs.Outcome{{Job: "job", Item: item, Text: text}}))
			}
		}
		other := newTable(t)
		mixed := append(slices.Clone(all), all...)
		seed := rapid.Int64().Draw(rt, "seed")
		rand.New(rand.NewSource(seed)).Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
		for _, r := range mixed {
			other.Apply(r)
		}
		if a, b := fingerprint(log, "job"), fingerprint(other, "job"); a != b {
			rt.Fatalf("in order %q, mixed %q", a, b)
		}
	})
}

// Symptom: an item stands at two positions.
// Sequence: two runners finish it at the same time and list it together, or one
// after the other.
// Cause: positions given without looking at what is listed.
func TestAnItemIsListedOnce(t *testing.T) {
	tab := newTable(t)
	apply(tab, mustT(t)(tab.Accept(spec("job", 2, 1))))
	both := mustT(t)(tab.List([]jobs.Outcome{{Job: "job", Item: 1, Text: []byte("a")}, {Job: "job", Item: 1, Text: []byte("b")}}))
	if len(both) != 1 {
		t.Fatalf("%d records for one item", len(both))
	}
	apply(tab, both)
	apply(tab, mustT(t)(tab.List([]jobs.Outcome{{Job: "job", Item: 1, Dead: true}, {Job: "job", Item: 0, Text: []byte("c")}})))
	j := tab.Get("job")
	if j.Listed() != 2 || string(j.Result(0).Text) != "a" || string(j.Result(1).Text) != "c" || !j.Complete() {
		t.Fatalf("listed %d: %v", j.Listed(), fingerprint(tab, "job"))
	}
}

// Symptom: a result that was read changes.
// Sequence: a record comes for a position that is taken, or for an item that is
// listed, whoever wrote it.
// Cause: the last record wins.
func TestTheFirstResultStays(t *testing.T) {
	tab, other := newTable(t), newTable(t)
	accepted := mustT(t)(tab.Accept(spec("job", 2, 1)))
	apply(tab, accepted)
	apply(other, accepted)
	apply(tab, mustT(t)(tab.List([]jobs.Outcome{{Job: "job", Item: 0, Text: []byte("first")}})))
	apply(tab, mustT(t)(other.List([]jobs.Outcome{{Job: "job", Item: 1, Text: []byte("second")}})))
	if r := tab.Get("job").Result(0); string(r.Text) != "first" {
		t.Fatalf("position 0 became %q", r.Text)
	}
}

func apply(tab *jobs.Table, recs []store.Record) {
	for _, r := range recs {
		tab.Apply(r)
	}
}

func mustT(t *testing.T) func([]store.Record, error) []store.Record {
	return func(recs []store.Record, err error) []store.Record {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return recs
	}
}

// Symptom: the store refuses a job as too large, or its room is used up.
// Cause: a value over the record limit of 256 KiB, or jobs that are never dropped.
func TestRecordsFitAndOldJobsAreDropped(t *testing.T) {
	tab := newTable(t)
	big := spec("big", 200, 20<<10)
	big.AcceptedUnixMs = 1000
	recs := mustT(t)(tab.Accept(big))
	for _, r := range recs {
		if n := len(r.Key) + len(r.Value) + 1; n > 256<<10 {
			t.Fatalf("record of %d bytes", n)
		}
	}
	apply(tab, recs)
	keep := time.Minute
	at := time.UnixMilli(1000).Add(2 * keep)
	if got := tab.Expired(at, keep); len(got) != 0 {
		t.Fatalf("an open job was dropped: %d records", len(got))
	}
	apply(tab, mustT(t)(tab.End("big")))
	if got := tab.Expired(at.Add(-keep-time.Second), keep); len(got) != 0 {
		t.Fatal("a job was dropped before its time")
	}
	apply(tab, tab.Expired(at, keep))
	if tab.Get("big") != nil || len(tab.Jobs()) != 0 {
		t.Fatal("an old job was kept")
	}
}

// Symptom: a hopeless item runs again and again as its runner changes.
// Cause: failed attempts were only counted in memory.
func TestFailedAttemptsAreKept(t *testing.T) {
	tab := newTable(t)
	apply(tab, mustT(t)(tab.Accept(spec("job", 1, 1))))
	apply(tab, mustT(t)(tab.Fail("job", 0, 2, false)))
	apply(tab, mustT(t)(tab.Fail("job", 0, 1, true)))
	if failed, never := tab.Get("job").Failures(0); failed != 2 || !never {
		t.Fatalf("failed %d, impossible %v", failed, never)
	}
}

// Whatever stands on the store, the fold neither panics nor invents a job.
func FuzzFoldTakesAnyRecord(f *testing.F) {
	f.Add("job/spec/000000/000", []byte{1, 2, 3})
	f.Add("job/result/-1/999", []byte{})
	f.Add("//", []byte("x"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		told := 0
		tab := jobs.NewTable(func(string, error) { told++ })
		tab.Apply(store.Record{Key: key, Value: value})
		for _, j := range tab.Jobs() {
			_ = j.Listed()
			_ = j.Complete()
		}
		if told > 0 && len(tab.Jobs()) > 0 {
			t.Fatal("a record that cannot be read made a job")
		}
	})
}
