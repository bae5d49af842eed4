package drproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drnet"
)

const (
	// dialTimeout bounds connecting to a runner. A live runner answers within a
	// round trip; one that has gone does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleReuse is how long an idle connection may be reused if the
	// runner did not state its idle timeout.
	defaultIdleReuse = 700 * time.Millisecond
	// idleMargin is subtracted from the idle timeout that a runner states, so
	// that a connection is not reused just as the runner closes it.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerRunner is how many idle connections are kept per runner address;
	// the least recently used is closed first.
	maxIdlePerRunner = 8
	// idleShare is the part of the connections that a runner accepts which all VMs
	// together may leave idle.
	idleShare = 0.5
)

// upstream is a connection to a runner. It carries one request at a time, and
// has a reader only meanwhile.
type upstream struct {
	drnet.Conn
	address string
	reader  *bufio.Reader // nil while the connection is idle
	reused  bool
	// usableUntil is when an idle connection must no longer be reused, because
	// the runner may be closing it.
	usableUntil time.Time
	// extendDeadline, if not nil, is called when the read deadline passes. If it
	// returns true, it has set a new deadline and the read is repeated. This
	// happens here because the readers of a body that use this connection
	// cannot continue after an error.
	extendDeadline func() bool
	// turn is set while a whole body is read.
	turn *turn
}

// Dialer opens connections to runners, which implement drnet.Conn. The context
// bounds only the dial.
type Dialer interface {
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// Read implements io.Reader. A timeout is returned only if extendDeadline does
// not grant more time.
func (u *upstream) Read(p []byte) (int, error) {
	for {
		n, err := u.turn.readFrom(u.Conn, p)
		if n > 0 || u.extendDeadline == nil || !timedOut(err) || !u.extendDeadline() {
			return n, err
		}
	}
}

// endedByPeer reports whether the runner has ended the connection and all that it sent has
// been read.
func (u *upstream) endedByPeer() bool { return u.PeerClosed() && u.Buffered() == 0 }

// reset removes what an attempt has left on the connection, so that nothing of
// it affects the next one. It fails if the runner has sent more than the answer.
func (u *upstream) reset() error {
	if u.reader.Buffered() > 0 {
		return errUnaskedData
	}
	u.extendDeadline = nil
	releaseReader(u.reader)
	u.reader = nil
	return u.SetDeadline(time.Time{})
}

var errUnaskedData = errors.New("the runner sent more than the answer")

// pool keeps idle connections to runners for reuse. It is safe for concurrent
// use.
type pool struct {
	dialer Dialer
	clock  drfleetview.Clock

	mu     sync.Mutex
	idle   map[string][]*upstream // by address, the most recently used last
	closed bool                   // no connection is kept any more
}

func newPool(dialer Dialer, clock drfleetview.Clock) *pool {
	return &pool{dialer: dialer, clock: clock, idle: make(map[string][]*upstream)}
}

// get returns an idle connection to address, or a new one if there is none or
// forceNew is set. An error means that nothing has been sent to the runner.
func (p *pool) get(ctx context.Context, address string, forceNew bool) (*upstream, error) {
	if !forceNew {
		if u := p.takeIdle(address); u != nil {
			return u, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dialer.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("cannot connect to the runner: %w", err)
	}
	u := &upstream{Conn: nc.(drnet.Conn), address: address}
	u.acquireReader()
	return u, nil
}

func (u *upstream) acquireReader() {
	u.reader = acquireReader(readBuffer)
	u.reader.Reset(u)
}

// takeIdle removes the most recently used idle connection to address that is
// still usable from the pool and returns it, nil if there is none.
func (p *pool) takeIdle(address string) *upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	us := p.idle[address]
	now := p.clock.Now()
	for len(us) > 0 {
		u := us[len(us)-1]
		us = us[:len(us)-1]
		p.idle[address] = us
		if now.Before(u.usableUntil) && u.alive() {
			u.reused = true
			u.acquireReader()
			return u
		}
		_ = u.Close()
	}
	return nil
}

// alive reports whether the runner has neither closed the idle connection nor
// sent bytes that no request asked for.
func (u *upstream) alive() bool {
	select {
	case <-u.Done():
		return false
	default:
		return u.Buffered() == 0
	}
}

// maxIdle returns how many idle connections one of the VMs may keep to a runner that accepts
// connectionLimit connections from all of them.
func maxIdle(connectionLimit, vms int) int {
	return min(int(idleShare*float64(connectionLimit))/max(vms, 1), maxIdlePerRunner)
}

// put returns a connection to the pool after a complete answer, which then keeps at most
// limit connections to the runner. It closes the connection instead if the answer, its idle
// timeout or the state of the connection does not permit reuse. The caller must not use conn
// afterwards.
func (p *pool) put(conn *upstream, answer Answer, header *fasthttp.ResponseHeader, limit int) {
	idle := defaultIdleReuse
	if answer.Idle > 0 {
		idle = answer.Idle - idleMargin
	}
	if header.ConnectionClose() || idle <= 0 || !conn.alive() || conn.reset() != nil {
		_ = conn.Close()
		return
	}
	conn.usableUntil = p.clock.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close()
		return
	}
	us := append(p.idle[conn.address], conn)
	for len(us) > limit {
		_ = us[0].Close()
		us = us[1:]
	}
	p.idle[conn.address] = us
	p.closeExpired()
}

// closeExpired closes idle connections past their usableUntil. The caller holds
// mu.
func (p *pool) closeExpired() {
	now := p.clock.Now()
	for address, us := range p.idle {
		for len(us) > 0 && now.After(us[0].usableUntil) {
			_ = us[0].Close()
			us = us[1:]
		}
		if len(us) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = us
	}
}

// close closes all idle connections, and those that are returned later.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, us := range p.idle {
		for _, u := range us {
			_ = u.Close()
		}
	}
	clear(p.idle)
}
