// Package linktest has what tests of sessions in virtual time share.
package linktest

import "runtime"

// EmptyTimerPool empties the pool of timers that yamux keeps for the whole process, which takes two
// garbage collections. A timer must not be used in two bubbles of synctest, nor in and outside one.
func EmptyTimerPool() {
	runtime.GC()
	runtime.GC()
}
