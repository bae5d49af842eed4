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
	// dialTimeout bounds a new connection to a runner. Connecting takes a round
	// trip; a runner that has gone does not answer at all.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleReuse is how long an idle connection is used again if the runner
	// did not say how long it keeps it, and idleMargin is subtracted if it did.
	defaultIdleReuse = 700 * time.Millisecond
	idleMargin       = 400 * time.Millisecond
	// maxIdlePerRunner bounds the idle connections to one runner.
	maxIdlePerRunner = 8
)

// upstream is a connection to a runner.
type upstream struct {
	net.Conn
	address string
	reader  *bufio.Reader
	reused  bool
	// usableUntil is when the runner may close the idle connection.
	usableUntil time.Time
	// extendDeadline is asked when the read deadline passes; true means that it has
	// set another one and reading goes on. Readers of a body cannot go on after
	// an error, so the decision is made below them.
	extendDeadline func() bool
}

// Read implements io.Reader.
func (u *upstream) Read(p []byte) (int, error) {
	for {
		n, err := u.Conn.Read(p)
		var ne net.Error
		if n > 0 || u.extendDeadline == nil || !errors.As(err, &ne) || !ne.Timeout() || !u.extendDeadline() {
			return n, err
		}
	}
}

// pool keeps idle connections to runners.
type pool struct {
	dialer *drnet.Dialer
	clock  drfleetview.Clock

	mu   sync.Mutex
	idle map[string][]*upstream // by address, the most recently used last
}

func newPool(dialer *drnet.Dialer, clock drfleetview.Clock) *pool {
	return &pool{dialer: dialer, clock: clock, idle: make(map[string][]*upstream)}
}

// get returns an idle connection to address or a new one. The connection has
// carried no byte yet if an error is returned.
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
		return nil, fmt.Errorf("connect to runner: %w", err)
	}
	u := &upstream{Conn: nc, address: address}
	u.reader = bufio.NewReaderSize(u, readBuffer)
	return u, nil
}

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
			return u
		}
		_ = u.Close()
	}
	return nil
}

// alive reports whether the runner has kept the connection open and sent
// nothing that nobody asked for.
func (u *upstream) alive() bool {
	if u.reader.Buffered() > 0 {
		return false
	}
	d, ok := u.Conn.(drnet.Conn)
	if !ok {
		return true
	}
	select {
	case <-d.Done():
		return false
	default:
	}
	b, ok := u.Conn.(interface{ Buffered() int })
	return !ok || b.Buffered() == 0
}

// put keeps a connection after a complete answer.
func (p *pool) put(conn *upstream, answer Answer, header *fasthttp.ResponseHeader) {
	idle := defaultIdleReuse
	if answer.Idle > 0 {
		idle = answer.Idle - idleMargin
	}
	if header.ConnectionClose() || conn.reader.Buffered() > 0 || idle <= 0 {
		_ = conn.Close()
		return
	}
	conn.usableUntil = p.clock.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	us := append(p.idle[conn.address], conn)
	if len(us) > maxIdlePerRunner {
		_ = us[0].Close()
		us = us[1:]
	}
	p.idle[conn.address] = us
	p.closeExpired()
}

// closeExpired closes connections whose time has passed. The caller holds mu.
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

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, us := range p.idle {
		for _, u := range us {
			_ = u.Close()
		}
	}
	clear(p.idle)
}
