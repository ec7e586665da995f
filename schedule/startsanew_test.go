package schedule_test

import (
	"testing"
	"time"

	"pumiceford/schedule"
)

// Guards against an item that repeats its output although it can wait, and against one that
// waits until the repetition would be late.
func TestStartsAnewWhenWaitingCostsMore(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		due, waited time.Duration
		want        bool
	}{
		{due: time.Minute, waited: 0, want: false},
		{due: time.Minute, waited: 1900 * time.Millisecond, want: false},
		{due: time.Minute, waited: 2 * time.Second, want: true},
		{due: 7 * time.Second, waited: 0, want: false},
		{due: 5 * time.Second, waited: 0, want: true},
	} {
		item := schedule.Item{Due: now.Add(tc.due), Remaining: 3 * time.Second, Started: true}
		if got := item.StartsAnew(now, tc.waited, 2*time.Second); got != tc.want {
			t.Errorf("due in %s, waited %s: %v, want %v", tc.due, tc.waited, got, tc.want)
		}
	}
}
