package drclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime tells the time since the VM started. Unlike Clock, it also counts the
// time in which the VM was suspended, so that a lease cannot outlast a pause.
type Uptime interface {
	Uptime() time.Duration
}

// Uptime implements Uptime. It returns 0 if the kernel has no boot-time clock,
// which Linux has had since 2.6.39.
func (System) Uptime() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
