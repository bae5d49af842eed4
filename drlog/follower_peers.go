package drlog

import (
	"context"
	"errors"
	"fmt"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// maxRelayPages limits the pages that one call of ReadPeers reads.
const maxRelayPages = 64

// ReadPeers catches up through peers, as far as they can answer; failures are
// ignored. It does nothing if FollowerConfig.Peers is nil.
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

// readPeers fetches one page from peers and applies it, or restores a peer's state
// if the peers no longer hold the next record. more reports whether they have
// further records.
func (f *Follower) readPeers(ctx context.Context) (more bool, err error) {
	f.readMu.Lock()
	defer f.readMu.Unlock()
	from := f.Offset() + 1
	callCtx, cancel := drclock.WithTimeout(ctx, f.config.Clock, peerTimeout)
	defer cancel()
	page, err := f.config.Peers.FetchRecords(callCtx, f.config.Stream, from)
	if _, ok := errors.AsType[*GapError](err); ok {
		return true, f.fetchState(ctx)
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.progress.appliedOffset()
	scanning := f.scan
	f.scan = nil // the peer's records continue from the current state
	for _, r := range page.Records {
		f.apply(r)
	}
	f.confirm(page.Next, page.Confirmed)
	if f.progress.appliedOffset()+1 < page.Next && f.progress.appliedOffset() == before {
		f.scan = scanning
		return false, fmt.Errorf("peers did not return the record at offset %d", from)
	}
	if scanning != nil && f.progress.appliedOffset()+1 < scanning.first {
		f.scan = scanning
	}
	return f.progress.appliedOffset()+1 < page.Next, nil
}

// fetchState restores the state of a peer. During a scan, the state must reach up
// to the records that the log retains; otherwise it must be newer than the
// current one.
func (f *Follower) fetchState(ctx context.Context) error {
	if f.config.Peers == nil {
		return errors.New("no peers are configured")
	}
	callCtx, cancel := drclock.WithTimeout(ctx, f.config.Clock, stateTransferTimeout)
	defer cancel()
	state, err := f.config.Peers.FetchState(callCtx, f.config.Stream, f.Offset())
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.scan != nil && state.Offset+1 >= f.scan.first {
		if f.restoreAndReplay(state.Offset, state.Snapshot) {
			return nil
		}
	} else if f.scan == nil && f.restore(state.Offset, state.Snapshot) {
		return nil
	}
	return fmt.Errorf("cannot use the state of a peer at offset %d: it is too old or was rejected", state.Offset)
}
