package drpeer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// link keeps the session to one VM. Concurrent callers share one dial.
type link struct {
	node *Node
	vm   string

	mu            sync.Mutex
	activeSession *session
	dial          *pendingDial
	dialFailures  int
	retryAt       time.Time
}

// pendingDial is a dial in progress; err is set before done is closed.
type pendingDial struct {
	done chan struct{}
	err  error
}

// getSession returns a live session, dialling if there is none.
func (l *link) getSession(ctx context.Context) (*session, error) {
	for {
		s, d, err := l.sessionOrDial()
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-d.done:
			if d.err != nil {
				return nil, d.err
			}
		case <-ctx.Done():
			return nil, contextError(ctx, drerror.NotRun, l.vm, "dial")
		}
	}
}

// sessionOrDial returns the session, or the dial that will bring one.
func (l *link) sessionOrDial() (*session, *pendingDial, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeSession != nil && l.activeSession.usable() {
		return l.activeSession, nil, nil
	}
	if l.dial != nil {
		return nil, l.dial, nil
	}
	if wait := -l.node.config.Clock.Since(l.retryAt); wait > 0 {
		return nil, nil, l.unavailableError("recent dials failed").WithRetryAfter(wait)
	}
	address, ok := l.node.config.Addresses(l.vm)
	if !ok {
		return nil, nil, l.unavailableError("its address is not known")
	}
	d := &pendingDial{done: make(chan struct{})}
	if !l.node.spawn(func() { l.runDial(d, address) }) {
		return nil, nil, l.unavailableError("this process is closing")
	}
	l.dial = d
	return nil, d, nil
}

func (l *link) unavailableError(reason string) *drerror.Error {
	return drerror.New(drerror.NotRun, drerror.Unavailable, "no session with %s: %s", l.vm, reason)
}

// runDial dials independently of the callers' contexts, because others may wait.
func (l *link) runDial(dial *pendingDial, address string) {
	node := l.node
	ctx, cancel := drclock.WithTimeout(node.ctx, node.config.Clock, dialTimeout)
	defer cancel()
	s, err := l.openSession(ctx, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dial = nil
	if err != nil {
		dial.err = drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "dial "+l.vm)
		backoff := min(minDialBackoff<<min(l.dialFailures, 10), maxDialBackoff)
		l.dialFailures++
		// The jitter keeps the VMs from dialling a restarted VM in step.
		l.retryAt = node.config.Clock.Now().Add(backoff/2 + rand.N(backoff))
	} else {
		l.dialFailures, l.activeSession = 0, s
		go s.serve()
	}
	close(dial.done)
}

func (l *link) openSession(ctx context.Context, address string) (*session, error) {
	node := l.node
	for node.config.Block(l.vm) {
		if err := node.config.Clock.Sleep(ctx, blockPollInterval); err != nil {
			return nil, err
		}
	}
	conn, err := node.config.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := newSession(node, conn, l.vm, true)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// setActiveIfNone uses s if there is no live session. If both sides dialled at the same
// time, each keeps its own session until it is idle.
func (l *link) setActiveIfNone(accepted *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeSession == nil || !l.activeSession.usable() {
		l.activeSession, l.dialFailures, l.retryAt = accepted, 0, time.Time{}
	}
}

// sweep closes an idle session and reports whether the link may be forgotten.
func (l *link) sweep() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.activeSession; s != nil && s.dialled && s.idle(idleTimeout) {
		s.retire()
	}
	if l.activeSession != nil && !l.activeSession.usable() {
		l.activeSession = nil
	}
	return l.activeSession == nil && l.dial == nil && l.node.config.Clock.Since(l.retryAt) > maxDialBackoff
}
