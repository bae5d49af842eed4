package drpeer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
)

// link manages the session used for calls to one VM. Concurrent callers share
// one dial.
type link struct {
	node *Node
	vm   string

	mu            sync.Mutex
	activeSession *session
	dial          *pendingDial
	// dialFailures counts the dials that failed since the last session.
	dialFailures int
	// retryAt is when the back-off after a failed dial ends.
	retryAt time.Time
}

// pendingDial is a dial in progress. err is set before done is closed, and is
// nil if the dial succeeded.
type pendingDial struct {
	done chan struct{}
	err  error
}

// getSession returns the active session. If there is no usable one, it waits
// for a dial, which it starts if none is in progress, until ctx ends.
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

// sessionOrDial returns the active session if it is usable. Otherwise it
// returns the dial in progress, and starts one if there is none. It fails
// without dialling during the back-off after a failed dial.
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
		return nil, nil, l.unavailableError("its address is unknown")
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

// runDial dials with a context of its own: when the caller that started the
// dial gives up, others may still wait for it.
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
		// The jitter keeps all VMs from dialling a restarted VM at the same
		// time.
		l.retryAt = node.config.Clock.Now().Add(backoff/2 + rand.N(backoff))
	} else {
		l.dialFailures, l.activeSession = 0, s
		go s.serve()
	}
	close(dial.done)
}

// openSession opens a connection and starts a yamux session on it as client.
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

// setActiveIfNone makes an accepted session the active one if there is no
// usable session. If both sides dialled at the same time, each keeps using the
// session that it opened until that session is idle.
func (l *link) setActiveIfNone(accepted *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeSession == nil || !l.activeSession.usable() {
		l.activeSession, l.dialFailures, l.retryAt = accepted, 0, time.Time{}
	}
}

// sweep closes the active session if this process dialled it and it is idle.
// It reports whether the link holds no state, that is neither session, dial
// nor recent back-off, and may be deleted.
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
