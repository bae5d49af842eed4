package dredge

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
)

const (
	// stopAcceptingDelay is how long after SIGTERM new connections are still
	// accepted. The platform sends them until two readiness checks have
	// failed.
	stopAcceptingDelay = 2500 * time.Millisecond
	// exitMargin is the end of the grace period that is reserved for closing
	// the Edge and exiting.
	exitMargin = 900 * time.Millisecond
	// lastAnswerMargin is how long before the end of draining the timeouts of
	// requests must have passed, so that their clients still get an answer.
	lastAnswerMargin = 200 * time.Millisecond
	// lastAnswerTime is the end of draining in which the requests that are given
	// up are answered, and lastAnswerPoll the pause between checks whether they
	// have been.
	lastAnswerTime = 100 * time.Millisecond
	lastAnswerPoll = 5 * time.Millisecond
	// refuseWaitingMargin is how long before the end of draining requests that
	// still wait for a runner are refused.
	refuseWaitingMargin = 700 * time.Millisecond
	// drainPollInterval is the pause between checks whether connections remain
	// while draining.
	drainPollInterval = 50 * time.Millisecond
)

// Drain stops this VM gracefully: it fails readiness checks, gives up the
// controller's lease, lets running requests finish within the grace period,
// refuses late ones that may not, and then closes the Edge. It returns when the
// Edge is closed.
func (e *Edge) Drain() error {
	start := e.Clock.Now()
	e.draining.Store(true)
	deadline := start.Add(time.Duration(e.Settings.GracePeriod) - exitMargin)
	e.proxy.StartDrain()
	e.proxy.EndBy(start.Add(stopAcceptingDelay), deadline.Add(-lastAnswerMargin))
	e.controllerNode.Retire()
	log.WithFields(log.Fields{"event": "draining", "vm": e.Settings.VM, "running": e.proxy.Busy()}).Info("")
	for e.Clock.Since(start) < stopAcceptingDelay {
		_ = e.Clock.Sleep(e.ctx, drainPollInterval)
	}
	e.callerListener.StopAccepting()
	waiting := true
	for e.Clock.Now().Before(deadline.Add(-lastAnswerTime)) {
		if waiting && e.Clock.Now().After(deadline.Add(-refuseWaitingMargin)) {
			waiting = false
			e.proxy.EndWaiting()
		}
		e.proxy.CloseIdle()
		if e.openConnections() == 0 {
			break
		}
		_ = e.Clock.Sleep(e.ctx, drainPollInterval)
	}
	e.answerRest(deadline)
	log.WithFields(log.Fields{"event": "stopped", "vm": e.Settings.VM, "cut": e.proxy.Busy(), "connections": e.proxy.Connections(),
		"accepted": e.callerListener.Connections(), "took": e.Clock.Since(start)}).Info("")
	return e.Close()
}

// answerRest answers the clients of requests that still run and whose answer has not
// begun, so that they learn more than the end of their connection tells. Answers that
// have begun go on until the deadline.
func (e *Edge) answerRest(deadline time.Time) {
	if e.openConnections() == 0 {
		return
	}
	e.proxy.EndUnanswered()
	for e.openConnections() > 0 && e.Clock.Now().Before(deadline) {
		e.proxy.CloseIdle()
		_ = e.Clock.Sleep(e.ctx, lastAnswerPoll)
	}
}

// openConnections returns the number of connections of callers. It includes those that
// were accepted and have no handler yet, and those whose caller has left while a request
// of it still runs.
func (e *Edge) openConnections() int {
	return max(e.callerListener.Connections(), e.proxy.Connections())
}

// closeTimeout is how long Close waits for the controller node and for each
// listener. All waits together must fit into exitMargin.
const closeTimeout = 100 * time.Millisecond

// Close ends the Edge without waiting for running requests.
func (e *Edge) Close() error {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		e.controllerNode.Close()
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout): // a call to the store or to a runner is still running
	}
	e.cancel()
	e.proxy.Close()
	err := e.peers.Close()
	for _, listener := range e.listeners {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		if closeErr := listener.Close(ctx); closeErr != nil && !errors.Is(closeErr, context.DeadlineExceeded) {
			err = errors.Join(err, closeErr)
		}
		cancel()
	}
	return errors.Join(err, e.dialer.Close())
}
