package origins_test

import (
	"fmt"
	"testing"
	"time"

	"pumiceford/origins"
	"pumiceford/quarantine"
	"pumiceford/targets"
)

// Guards against a wrong answer where records differ, and against records that are kept after
// their stream can be taken up.
func TestTableAnswersOnlyWhatIsCertain(t *testing.T) {
	t.Parallel()
	v1, v2 := targets.Software{Service: service, Version: "v1"}, targets.Software{Service: service, Version: "v2"}
	key, other := quarantine.NewKey("", "POST", "h", "/a", nil), quarantine.NewKey("", "POST", "h", "/b", nil)
	stream := func(key quarantine.Key, attempt string, software targets.Software) origins.Stream {
		return origins.Stream{Key: key, Attempt: attempt, Software: software, Window: time.Minute}
	}
	table := origins.NewTable()
	check := func(now time.Duration, key quarantine.Key, attempt string, want targets.Software, wantResult origins.Result) {
		t.Helper()
		if got, result := table.Find(now, key, attempt); got != want || result != wantResult {
			t.Errorf("attempt %q at %s: %v with result %d, want %v with %d", attempt, now, got, result, want, wantResult)
		}
	}
	table.Record(0, stream(key, "a", v1))
	check(0, key, "a", v1, origins.Recorded)
	check(0, key, "", v1, origins.Recorded)
	check(0, key, "b", targets.Software{}, origins.NotRecorded)
	check(0, other, "a", targets.Software{}, origins.NotRecorded)
	table.Record(10*time.Second, stream(key, "b", v2))
	check(10*time.Second, key, "a", v1, origins.Recorded)
	check(10*time.Second, key, "b", v2, origins.Recorded)
	check(10*time.Second, key, "", targets.Software{}, origins.Ambiguous)
	table.Record(20*time.Second, stream(key, "b", v1)) // the ID was used again
	check(20*time.Second, key, "b", targets.Software{}, origins.Ambiguous)
	table.Record(50*time.Second, stream(key, "a", v1)) // a second copy
	check(65*time.Second, key, "a", v1, origins.Recorded)
	check(2*time.Minute, key, "a", targets.Software{}, origins.NotRecorded)
	if n := table.Len(); n != 0 {
		t.Errorf("%d records left after their windows", n)
	}
}

// Guards against records that take an agent's memory without bound.
func TestTableIsBounded(t *testing.T) {
	t.Parallel()
	const streams = 70_000
	table := origins.NewTable()
	for n := range streams {
		table.Record(0, streamOf(n, targets.Software{Service: service, Version: "v1"}))
	}
	if n := table.Len(); n >= streams {
		t.Errorf("%d records are kept", n)
	}
	newest := streamOf(streams-1, targets.Software{})
	if _, result := table.Find(0, newest.Key, newest.Attempt); result != origins.Recorded {
		t.Error("the newest record was dropped")
	}
	if _, result := table.Find(0, streamOf(0, targets.Software{}).Key, fmt.Sprint("attempt", 0)); result != origins.NotRecorded {
		t.Error("the oldest record was kept")
	}
}
