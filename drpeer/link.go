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

	mu       sync.Mutex
	active   *session
	dial     *dial
	failures int
	retryAt  time.Time
}

// dial is a dial in progress; err is set before done is closed.
type dial struct {
	done chan struct{}
	err  error
}

// session returns a live session, dialling if there is none.
func (l *link) session(ctx context.Context) (*session, error) {
	for {
		s, d, err := l.start()
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

// start returns the session, or the dial that will bring one.
func (l *link) start() (*session, *dial, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active != nil && l.active.usable() {
		return l.active, nil, nil
	}
	if l.dial != nil {
		return nil, l.dial, nil
	}
	if wait := -l.node.config.Clock.Since(l.retryAt); wait > 0 {
		return nil, nil, l.unavailable("recent dials failed").WithRetryAfter(wait)
	}
	address, ok := l.node.config.Addresses(l.vm)
	if !ok {
		return nil, nil, l.unavailable("its address is not known")
	}
	d := &dial{done: make(chan struct{})}
	if !l.node.spawn(func() { l.run(d, address) }) {
		return nil, nil, l.unavailable("this process is closing")
	}
	l.dial = d
	return nil, d, nil
}

func (l *link) unavailable(why string) *drerror.Error {
	return drerror.New(drerror.NotRun, drerror.Unavailable, "no session with %s: %s", l.vm, why)
}

// run dials independently of the callers' contexts, because others may wait.
func (l *link) run(d *dial, address string) {
	n := l.node
	ctx, cancel := drclock.WithTimeout(n.ctx, n.config.Clock, dialTimeout)
	defer cancel()
	s, err := l.open(ctx, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dial = nil
	if err != nil {
		d.err = drerror.Wrap(drerror.NotRun, drerror.Unavailable, err, "dial "+l.vm)
		pause := min(minBackoff<<min(l.failures, 10), maxBackoff)
		l.failures++
		// The jitter keeps the VMs from dialling a restarted VM in step.
		l.retryAt = n.config.Clock.Now().Add(pause/2 + rand.N(pause))
	} else {
		l.failures, l.active = 0, s
		go s.serve()
	}
	close(d.done)
}

func (l *link) open(ctx context.Context, address string) (*session, error) {
	n := l.node
	for n.config.Block(l.vm) {
		if err := n.config.Clock.Sleep(ctx, blockPoll); err != nil {
			return nil, err
		}
	}
	c, err := n.config.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	s, err := newSession(n, c, l.vm, true)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

// adopt uses s if there is no live session. If both sides dialled at the same
// time, each keeps its own session until it is idle.
func (l *link) adopt(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == nil || !l.active.usable() {
		l.active, l.failures, l.retryAt = s, 0, time.Time{}
	}
}

// sweep closes an idle session and reports whether the link may be forgotten.
func (l *link) sweep() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.active; s != nil && s.dialled && s.idle(idleTimeout) {
		s.retire()
	}
	if l.active != nil && !l.active.usable() {
		l.active = nil
	}
	return l.active == nil && l.dial == nil && l.node.config.Clock.Since(l.retryAt) > maxBackoff
}
