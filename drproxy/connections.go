package drproxy

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drmetric"
)

// crowdedShare is the part of MaxConnections from which refused clients are
// asked to close their connections, as they retry on new ones.
const crowdedShare = 0.5

// Connections returns the number of open client connections, idle ones
// included.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdle ends the wait for the next request on idle connections, which
// closes them. A request that has already arrived is still answered.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.idle.Front(); e != nil; e = e.Next() {
		e.Value.(*clientConn).endIdle()
	}
}

// endIdle ends the wait for the next request.
func (c *clientConn) endIdle() { _ = c.SetReadDeadline(time.Unix(1, 0)) }

// add counts a new connection and makes room for it. It returns false if there
// is none, because too many connections carry requests.
func (s *Server) add(c *clientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.MaxConnections > 0 && len(s.conns) >= s.MaxConnections {
		longest := s.idle.Front()
		if longest == nil {
			s.Metrics.Counter(drmetric.Refusals, "too-many-connections").Inc(1)
			log.WithFields(log.Fields{"event": "connection-refused", "connections": len(s.conns), "limit": s.MaxConnections}).Warn("")
			return false
		}
		s.idle.Remove(longest)
		crowdedOut := longest.Value.(*clientConn)
		crowdedOut.idle = nil
		crowdedOut.endIdle()
	}
	s.conns[c] = struct{}{}
	c.idle = s.idle.PushBack(c)
	return true
}

func (s *Server) remove(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.idle != nil {
		s.idle.Remove(c.idle)
		c.idle = nil
	}
}

// setIdle records whether a connection waits for a request.
func (s *Server) setIdle(c *clientConn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case idle && c.idle == nil:
		c.idle = s.idle.PushBack(c)
	case !idle && c.idle != nil:
		s.idle.Remove(c.idle)
		c.idle = nil
	}
}

// crowded reports whether the server has so many connections that refused
// clients should close theirs.
func (s *Server) crowded() bool {
	return s.MaxConnections > 0 && s.Connections() >= int(crowdedShare*float64(s.MaxConnections))
}
