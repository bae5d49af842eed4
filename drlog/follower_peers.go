package drlog

import (
	"context"
	"errors"
	"fmt"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// maxRelayPages bounds one catch-up through peers.
const maxRelayPages = 64

// ReadPeers catches up through peers. It does nothing without a Relay.
func (f *Follower) ReadPeers(ctx context.Context) {
	if f.config.Peers == nil {
		return
	}
	for range maxRelayPages {
		more, err := f.readPeers(ctx)
		if err != nil || !more {
			return
		}
	}
}

func (f *Follower) readPeers(ctx context.Context) (more bool, err error) {
	f.reading.Lock()
	defer f.reading.Unlock()
	from := f.Offset() + 1
	call, cancel := drclock.WithTimeout(ctx, f.config.Clock, peerTimeout)
	defer cancel()
	p, err := f.config.Peers.FetchRecords(call, f.config.Stream, from)
	if _, ok := errors.AsType[*GapError](err); ok {
		return true, f.fetchState(ctx)
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.progress.held()
	scanning := f.scan
	f.scan = nil // the peer's records follow the held state
	for _, r := range p.Records {
		f.apply(r)
	}
	f.confirm(p.Next, p.Confirmed)
	if f.progress.held()+1 < p.Next && f.progress.held() == before {
		f.scan = scanning
		return false, fmt.Errorf("peer relayed no record from offset %d", from)
	}
	if scanning != nil && f.progress.held()+1 < scanning.first {
		f.scan = scanning
	}
	return f.progress.held()+1 < p.Next, nil
}

// fetchState restores the state of a peer, if it is newer and joins what the
// log retains.
func (f *Follower) fetchState(ctx context.Context) error {
	if f.config.Peers == nil {
		return errors.New("no peers")
	}
	call, cancel := drclock.WithTimeout(ctx, f.config.Clock, stateTimeout)
	defer cancel()
	s, err := f.config.Peers.FetchState(call, f.config.Stream, f.Offset())
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.scan != nil && s.Offset+1 >= f.scan.first {
		if f.restoreScanned(s.Offset, s.Snapshot) {
			return nil
		}
	} else if f.scan == nil && f.restore(s.Offset, s.Snapshot) {
		return nil
	}
	return fmt.Errorf("the state of a peer at offset %d is of no use", s.Offset)
}
