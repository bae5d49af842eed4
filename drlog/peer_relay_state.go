package drlog

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// maxStateBytes limits a state from a peer to the largest snapshot that the log can
// hold.
const maxStateBytes = maxSnapshotParts * partSize

// cachedState is an encoded state that is sent to peers in pages. It does not
// change, so that all pages fit together.
type cachedState struct {
	offset    uint64
	data      []byte
	hash      [sha256.Size]byte
	createdAt time.Time
}

// FetchState implements Relay. It transfers the newest state among up to
// peersPerCall peers and verifies its hash.
func (p *PeerRelay) FetchState(ctx context.Context, stream string, above uint64) (RelayedState, error) {
	req := &drpb.LogFetchStateRequest{Stream: stream, Above: above}
	answers, err := callPeers[drpb.LogFetchStateResponse](ctx, p, MethodFetchState, req)
	if err != nil {
		return RelayedState{}, err
	}
	var from string
	first := &drpb.LogFetchStateResponse{Offset: above}
	for vm, answer := range answers {
		if answer.Offset > first.Offset {
			from, first = vm, answer
		}
	}
	if from == "" || first.Size > maxStateBytes {
		return RelayedState{}, drerror.New(drerror.NotRun, drerror.LogUnavailable, "no peer has a state of stream %q above offset %d", stream, above)
	}
	data := first.Data
	req.Offset = first.Offset
	for uint64(len(data)) < first.Size {
		req.Position = uint64(len(data))
		page := &drpb.LogFetchStateResponse{}
		if err := p.config.Caller.Call(ctx, from, MethodFetchState, req, page); err != nil {
			return RelayedState{}, err
		}
		if page.Offset != first.Offset || len(page.Data) == 0 {
			return RelayedState{}, drerror.New(drerror.NotRun, drerror.LogUnavailable, "the state of peer %q changed during the transfer", from)
		}
		data = append(data, page.Data...)
	}
	if sum := sha256.Sum256(data); !bytes.Equal(sum[:], first.Hash) {
		return RelayedState{}, drerror.New(drerror.NotRun, drerror.LogUnavailable, "the state of peer %q is corrupt", from)
	}
	return RelayedState{Offset: first.Offset, Snapshot: data}, nil
}

// stateFor returns the state to send to a peer. If offset is 0 it returns a state
// newer than offset above, cached or encoded anew, or nil if there is none or the
// state is incomplete. Otherwise it returns the cached state at exactly that offset,
// from which the peer got its first page, or nil if it was replaced.
func (p *PeerRelay) stateFor(f *Follower, above, offset uint64) *cachedState {
	p.mu.Lock()
	defer p.mu.Unlock()
	cached := p.states[f.Stream()]
	now := p.config.Clock.Now()
	if offset > 0 {
		if cached != nil && cached.offset == offset {
			return cached
		}
		return nil
	}
	if cached != nil && cached.offset > above && now.Sub(cached.createdAt) < stateCacheTTL {
		return cached
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.progress.appliedOffset() <= above || f.skippedNewerFormat {
		return nil
	}
	cached = &cachedState{offset: f.progress.appliedOffset(), data: f.config.Folder.Snapshot(), createdAt: now}
	cached.hash = sha256.Sum256(cached.data)
	p.states[f.Stream()] = cached
	return cached
}
