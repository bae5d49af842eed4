package drclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime tells how long ago the VM started. Unlike the monotonic time of Clock,
// it includes the time in which the VM was suspended. A lease that is measured
// by it also expires while the VM is suspended.
type Uptime interface {
	// Uptime returns the time since the VM started.
	Uptime() time.Duration
}

// Uptime implements Uptime. It reads CLOCK_BOOTTIME, and returns 0 if the kernel
// does not have it. Linux has it since 2.6.39.
func (System) Uptime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
