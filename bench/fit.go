// Package bench runs the experiments: each drives the code that production runs
// against small stand-ins and prints what it measured.
package bench

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a line through points: y = Base + Per * x.
type Slope struct {
	Name   string  `json:"name"`   // stable name, used by the capacity page
	Unit   string  `json:"unit"`   // of Per
	Per    float64 `json:"per"`    // change of y for one more x
	Error  float64 `json:"error"`  // standard error of Per
	Base   float64 `json:"base"`   // y at x = 0
	Points []Point `json:"points"` // at least four
}

// Fit draws the least-squares line.
func Fit(name, unit string, points []Point) Slope {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
	}
	variance := sxx - sx*sx/n
	per := (sxy - sx*sy/n) / variance
	base := (sy - per*sx) / n
	rest := 0.0
	for _, p := range points {
		d := p.Y - base - per*p.X
		rest += d * d
	}
	return Slope{Name: name, Unit: unit, Per: per, Base: base, Error: math.Sqrt(rest / (n - 2) / variance), Points: points}
}

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
