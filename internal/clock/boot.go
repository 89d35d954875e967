package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine started, including the time
// that it was suspended. The steady clock stands still while a VM is
// suspended, so a holder of a lease would wake up and believe in it still.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart stands in where the machine has no such clock.
var processStart = time.Now()
