// Package bench runs the experiments: each drives the code that production runs
// against small stand-ins and prints what it measured.
package bench

import (
	"runtime"
	"syscall"
	"time"
)

// cpu returns the processor time of this process.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// spent runs f and returns its processor time in seconds.
func spent(f func()) float64 {
	before := cpu()
	f()
	return (cpu() - before).Seconds()
}
