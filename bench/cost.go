// Package bench implements the experiments of pumice-bench. Each runs production code
// against simulated external systems and returns its measurements.
package bench

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the user and system CPU time of this process, or 0 on an error.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeapBytes returns the size of the live heap objects after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measureCPU runs f and returns the CPU time that the process used, in seconds.
func measureCPU(f func()) float64 {
	before := cpuTime()
	f()
	return (cpuTime() - before).Seconds()
}
