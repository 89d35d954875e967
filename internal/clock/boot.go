package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including time during which it
// was suspended. The monotonic clock stops while a VM is suspended, so a lease holder
// that relied on it would consider an expired lease still valid after resuming.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the reference for SinceBoot if the machine has no boot-time clock.
var processStart = time.Now()
