// Package boottime reads a monotonic clock that continues to run while the host is
// suspended, unlike the monotonic clock of the standard library.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including the time it was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call cannot fail: Linux has this clock since 2.6.39, and &ts is valid.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
