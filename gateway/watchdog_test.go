package gateway

import (
	"sync/atomic"
	"testing"
	"time"
)

// A check that still runs after its watchdog was stopped reads the state of a request while the
// response changes it.
func TestStoppedWatchdogChecksNothing(t *testing.T) {
	var checking atomic.Bool
	entered, release := make(chan struct{}), make(chan struct{})
	w := newWatchdog(0, time.Hour, func() {}, func() bool {
		checking.Store(true)
		close(entered)
		<-release
		checking.Store(false)
		return false
	})
	<-entered
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	w.stop()
	if checking.Load() {
		t.Error("a check is in progress after the stop")
	}
}
