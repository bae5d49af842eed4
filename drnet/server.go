package drnet

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// Server accepts connections and calls Config.Handler for each on a goroutine of
// its own.
type Server struct {
	config    Config
	listener  *net.TCPListener
	loops     *eventLoops
	ctx       context.Context
	cancel    context.CancelFunc
	acceptWG  sync.WaitGroup
	handlerWG sync.WaitGroup
}

// Listen starts a server on config.Address, which accepts connections when
// Listen returns. Close ends it.
func Listen(config Config) (*Server, error) {
	config = config.withDefaults()
	if config.Handler == nil {
		return nil, errNoHandler
	}
	ln, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", config.Address, err)
	}
	l, err := newEventLoops(config.Loops, config.Traffic)
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	l.lingers = true
	s := &Server{config: config, listener: ln.(*net.TCPListener), loops: l}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.acceptWG.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Addr returns the address that the server listens on, with the port that the
// kernel chose if the configured one was 0.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Connections returns the number of open connections, including those in a TLS
// handshake.
func (s *Server) Connections() int { return s.loops.connectionCount() }

// StopAccepting closes the listener and keeps the open connections. It first
// accepts those that wait in the kernel's queue, which closing the listener
// would reset. It may be called repeatedly.
func (s *Server) StopAccepting() {
	s.cancel()
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // wakes acceptLoop
	s.acceptWG.Wait()
	_ = s.listener.Close()
}

// Close stops accepting, waits until the handlers have returned or ctx ends,
// closes the connections that remain and ends the event loops. It returns ctx's
// error if ctx ended first.
func (s *Server) Close(ctx context.Context) error {
	s.StopAccepting()
	handlersDone := make(chan struct{})
	go func() {
		s.handlerWG.Wait()
		close(handlersDone)
	}()
	var err error
	select {
	case <-handlersDone:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return errors.Join(err, s.loops.stop())
}

func (s *Server) acceptLoop() {
	defer s.acceptWG.Done()
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.acceptQueued()
			return
		}
		if err != nil {
			if s.config.Clock.Sleep(s.ctx, acceptRetryDelay) != nil {
				s.acceptQueued()
				return
			}
			continue
		}
		s.start(netConn)
	}
}

// acceptQueued accepts the connections that wait in the kernel's queue, without
// waiting for more.
func (s *Server) acceptQueued() {
	for {
		netConn, err := acceptNow(s.listener)
		if err != nil {
			return
		}
		s.start(netConn)
	}
}

// start serves an accepted connection on a goroutine of its own, or closes it
// if there are too many.
func (s *Server) start(netConn net.Conn) {
	if s.config.MaxConnections > 0 && s.loops.connectionCount() >= s.config.MaxConnections {
		_ = netConn.Close()
		return
	}
	c, err := s.loops.addConn(netConn)
	if err != nil {
		return
	}
	s.handlerWG.Add(1)
	go s.serve(c)
}

func (s *Server) serve(c *conn) {
	defer s.handlerWG.Done()
	defer c.Close()
	if s.config.TLS == nil {
		s.config.Handler(c)
		return
	}
	tc := tlsConn{Conn: tls.Server(c, s.config.TLS), inner: c}
	// s.ctx ends with StopAccepting, which must not end handshakes in progress.
	ctx, cancel := drclock.WithTimeout(context.Background(), s.config.Clock, handshakeTimeout)
	err := tc.HandshakeContext(ctx)
	cancel()
	if err != nil {
		return
	}
	defer tc.Close()
	s.config.Handler(tc)
}
