package drpeer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// session is a yamux session on one connection. Both sides may call over it.
type session struct {
	node    *Node
	mux     *yamux.Session
	dialled bool
	// peerVM holds the name of the VM at the other end as a string. It is ""
	// for an accepted session until the first request names the sender.
	peerVM atomic.Value
	// serveDone is closed when serve returns.
	serveDone chan struct{}
	// serveSlots holds an element for each call being served, which bounds
	// their number at maxServedCalls.
	serveSlots chan struct{}

	mu          sync.Mutex
	activeCalls int
	lastUsed    time.Time
	pinging     bool
	retired     bool
}

// newSession starts a yamux session on conn, as its client if this process
// dialled. vm is the peer, or "" if it is not known yet. The caller must run
// serve; Node.Close waits for it to return.
func newSession(node *Node, conn net.Conn, vm string, dialled bool) (*session, error) {
	s := &session{
		node: node, dialled: dialled, lastUsed: node.config.Clock.Now(),
		serveSlots: make(chan struct{}, maxServedCalls),
	}
	s.peerVM.Store(vm)
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // see pingInterval
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.StreamOpenTimeout = 0 // pings detect a peer that does not answer
	cfg.LogOutput = io.Discard
	cuttable := &cuttableConn{Conn: conn, session: s, closed: make(chan struct{})}
	s.serveDone = make(chan struct{})
	var err error
	if dialled {
		s.mux, err = yamux.Client(cuttable, cfg)
	} else {
		s.mux, err = yamux.Server(cuttable, cfg)
	}
	if err != nil {
		return nil, err
	}
	node.spawn(func() {
		select {
		case <-node.ctx.Done():
		case <-s.mux.CloseChan():
		}
		s.close()
		<-s.serveDone
	})
	if node.ctx.Err() != nil {
		s.close()
	}
	return s, nil
}

// serve answers the peer's calls. It returns when the session has ended and the
// handlers have returned.
func (s *session) serve() {
	if s.node.addSession(s) {
		_ = s.mux.GoAway()
	}
	defer close(s.serveDone)
	defer s.node.removeSession(s)
	defer s.close()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(s.node.ctx)
	defer cancel()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		select {
		case s.serveSlots <- struct{}{}:
		case <-s.mux.CloseChan():
			return
		}
		s.node.callsInService.Add(1)
		wg.Go(func() {
			defer func() { <-s.serveSlots }()
			defer s.node.callsInService.Add(-1)
			s.beginCall()
			defer s.endCall()
			s.serveStream(ctx, stream)
		})
	}
}

// markRetired makes usable return false, for a session on which no more
// streams can be opened.
func (s *session) markRetired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
}

// usable reports whether new calls may be sent over the session.
func (s *session) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.retired && !s.mux.IsClosed()
}

// beginCall counts a call, sent or received, and starts the pings if they do
// not run.
func (s *session) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls++
	if !s.pinging {
		s.pinging = s.node.spawn(s.pingLoop)
	}
}

func (s *session) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
	s.lastUsed = s.node.config.Clock.Now()
}

// pingLoop pings the peer at each pingInterval and closes the session if a ping
// fails or is not answered. It returns when a ping is due and no call runs.
func (s *session) pingLoop() {
	ctx, cancel := context.WithCancel(s.node.ctx)
	defer cancel()
	go func() {
		select {
		case <-s.mux.CloseChan():
			cancel()
		case <-ctx.Done():
		}
	}()
	for s.node.config.Clock.Sleep(ctx, pingInterval) == nil {
		s.mu.Lock()
		if s.activeCalls == 0 {
			s.pinging = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if _, err := s.mux.Ping(); err != nil {
			s.close()
			return
		}
	}
}

// idle reports whether there has been no call for d and the session is not
// retired.
func (s *session) idle(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.retired && s.activeCalls == 0 && s.node.config.Clock.Since(s.lastUsed) >= d
}

// retire tells the peer to open no more streams and closes the session after
// pingInterval. A stream that the peer opens in between is reset, and its
// caller reports the call as not run.
func (s *session) retire() {
	s.markRetired()
	s.node.spawn(func() {
		if s.mux.GoAway() == nil {
			_ = s.node.config.Clock.Sleep(s.node.ctx, pingInterval)
		}
		s.close()
	})
}

func (s *session) close() { _ = s.mux.Close() }
