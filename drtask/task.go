// Package drtask runs the tasks of a process so that an unexpected error in one of
// them, a panic, is logged and ends neither the process nor the other tasks.
package drtask

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// ErrPanicked is wrapped by the errors that Try returns after a panic.
var ErrPanicked = errors.New("the task panicked")

// restartPause is the pause before a task that panicked is started again.
const restartPause = time.Second

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 4 << 10

// Try runs f. If f panics, the panic is logged with its stack under the name of the
// task, and returned as an error that wraps ErrPanicked.
func Try(task string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			stack := debug.Stack()
			log.WithFields(log.Fields{"event": "task-panicked", "task": task, "panic": fmt.Sprint(value),
				"stack": string(stack[:min(len(stack), maxStackBytes)])}).Error("")
			err = fmt.Errorf("%s: %w: %v", task, ErrPanicked, value)
		}
	}()
	return f()
}

// Run runs f until it returns. If f panics, the panic is logged and f is started
// again after a second, unless ctx has ended by then.
func Run(ctx context.Context, clock drclock.Clock, task string, f func()) {
	for {
		err := Try(task, func() error {
			f()
			return nil
		})
		if err == nil || clock.Sleep(ctx, restartPause) != nil {
			return
		}
	}
}
