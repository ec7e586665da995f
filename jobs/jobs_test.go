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

// newTable returns a table that fails the test on any unreadable record.
func newTable(t *testing.T) *jobs.Table {
	return jobs.NewTable(func(key string, err error) { t.Errorf("record %s: %v", key, err) })
}

// Guards against results that are missing without a log line: a record that is damaged or
// written by a newer version cannot be folded and must be reported.
func TestUnreadableRecordsAreReported(t *testing.T) {
	var reported []string
	tab := jobs.NewTable(func(key string, _ error) { reported = append(reported, key) })
	applyAll(tab, []store.Record{{Key: "no/such", Value: []byte("x")}, {Key: "job/spec/000000/000", Value: []byte{0xff}}})
	if !slices.Equal(reported, []string{"no/such", "job/spec/000000/000"}) {
		t.Fatalf("reported keys %v", reported)
	}
}

// visibleState returns everything that callers can read of a job.
func visibleState(t *jobs.Table, id string) string {
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

// Guards against nodes that report different results for one job, or a node whose results
// change with a restart. Records are folded twice after the log has been trimmed, or in key
// order instead of log order, so the fold must not depend on either.
func TestFoldIgnoresOrderAndDuplicates(t *testing.T) {
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
		if a, b := visibleState(log, "job"), visibleState(other, "job"); a != b {
			rt.Fatalf("folded in order: %q, folded twice in random order: %q", a, b)
		}
	})
}

// Guards against an item that is listed at two positions: two runners finish it at the same
// time and list it in one call, or one after the other.
func TestItemIsListedOnce(t *testing.T) {
	tab := newTable(t)
	applyAll(tab, must(t)(tab.Accept(spec("job", 2, 1))))
	both := must(t)(tab.List([]jobs.Outcome{{Job: "job", Item: 1, Text: []byte("a")}, {Job: "job", Item: 1, Text: []byte("b")}}))
	if len(both) != 1 {
		t.Fatalf("%d records for one item, want 1", len(both))
	}
	applyAll(tab, both)
	applyAll(tab, must(t)(tab.List([]jobs.Outcome{{Job: "job", Item: 1, Dead: true}, {Job: "job", Item: 0, Text: []byte("c")}})))
	j := tab.Get("job")
	if j.Listed() != 2 || string(j.Result(0).Text) != "a" || string(j.Result(1).Text) != "c" || !j.Complete() {
		t.Fatalf("%d results listed, want 2 (a, c): %v", j.Listed(), visibleState(tab, "job"))
	}
}

// Guards against a result that changes after a client has read it: a second record for the
// same position or the same item must not replace the first.
func TestFirstResultStays(t *testing.T) {
	tab, other := newTable(t), newTable(t)
	accepted := must(t)(tab.Accept(spec("job", 2, 1)))
	applyAll(tab, accepted)
	applyAll(other, accepted)
	applyAll(tab, must(t)(tab.List([]jobs.Outcome{{Job: "job", Item: 0, Text: []byte("first")}})))
	applyAll(tab, must(t)(other.List([]jobs.Outcome{{Job: "job", Item: 1, Text: []byte("second")}})))
	if r := tab.Get("job").Result(0); string(r.Text) != "first" {
		t.Fatalf("position 0 changed to %q", r.Text)
	}
}

func applyAll(tab *jobs.Table, recs []store.Record) {
	for _, r := range recs {
		tab.Apply(r)
	}
}

func must(t *testing.T) func([]store.Record, error) []store.Record {
	return func(recs []store.Record, err error) []store.Record {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return recs
	}
}

// Guards against a job that the store rejects because a record exceeds the limit of
// 256 KiB, and against a store that fills up because jobs are never dropped.
func TestRecordsFitLimitAndOldJobsExpire(t *testing.T) {
	tab := newTable(t)
	big := spec("big", 200, 20<<10)
	big.AcceptedUnixMs = 1000
	recs := must(t)(tab.Accept(big))
	for _, r := range recs {
		if n := len(r.Key) + len(r.Value) + 1; n > 256<<10 {
			t.Fatalf("record of %d bytes exceeds the limit of 256 KiB", n)
		}
	}
	applyAll(tab, recs)
	keep := time.Minute
	at := time.UnixMilli(1000).Add(2 * keep)
	if got := tab.Expired(at, keep); len(got) != 0 {
		t.Fatalf("open job expired: %d records", len(got))
	}
	applyAll(tab, must(t)(tab.End("big")))
	if got := tab.Expired(at.Add(-keep-time.Second), keep); len(got) != 0 {
		t.Fatal("job expired before the retention period ended")
	}
	applyAll(tab, tab.Expired(at, keep))
	if tab.Get("big") != nil || len(tab.Jobs()) != 0 {
		t.Fatal("job did not expire after the retention period")
	}
}

// Guards against an item that fails without end because failed attempts are counted only in
// memory, and the count is lost whenever the item moves to another runner.
func TestFailedAttemptsArePersisted(t *testing.T) {
	tab := newTable(t)
	applyAll(tab, must(t)(tab.Accept(spec("job", 1, 1))))
	applyAll(tab, must(t)(tab.Fail("job", 0, 2, false)))
	applyAll(tab, must(t)(tab.Fail("job", 0, 1, true)))
	if failed, impossible := tab.Get("job").Failures(0); failed != 2 || !impossible {
		t.Fatalf("got %d failed attempts, impossible %v; want 2, true", failed, impossible)
	}
}

// Checks that no record makes the fold panic, and that an unreadable record creates no job.
func FuzzFoldAcceptsAnyRecord(f *testing.F) {
	f.Add("job/spec/000000/000", []byte{1, 2, 3})
	f.Add("job/result/-1/999", []byte{})
	f.Add("//", []byte("x"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		unreadable := 0
		tab := jobs.NewTable(func(string, error) { unreadable++ })
		tab.Apply(store.Record{Key: key, Value: value})
		for _, j := range tab.Jobs() {
			_ = j.Listed()
			_ = j.Complete()
		}
		if unreadable > 0 && len(tab.Jobs()) > 0 {
			t.Fatal("an unreadable record created a job")
		}
	})
}
