package drcapacity

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the user and system time of this process, 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heldMemory returns the bytes of live heap and of goroutines' stacks after
// garbage collection. The second collection frees what finalizers kept.
func heldMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// writtenBytes returns the bytes that this process has passed to write calls,
// on sockets and files. Both ends of the measured connections are in this
// process, so each byte counts once. The result is 0 if it is unknown.
func writtenBytes() float64 {
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	var read, written int64
	if _, err := fmt.Sscanf(string(data), "rchar: %d\nwchar: %d\n", &read, &written); err != nil {
		return 0
	}
	return float64(written)
}
