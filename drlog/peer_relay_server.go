package drlog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// Register registers the handlers through which peers read the streams of the
// added followers.
func (p *PeerRelay) Register(registry drpeer.Registry) {
	registry.Handle(MethodFetchRecords, p.handleFetchRecords)
	registry.Handle(MethodFetchState, p.handleFetchState)
	registry.Handle(MethodLogStatus, p.handleLogStatus)
}

// follower returns the follower that was added for the stream.
func (p *PeerRelay) follower(stream string) (*Follower, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.followers[stream]; f != nil {
		return f, nil
	}
	return nil, drerror.New(drerror.NotRun, drerror.Unavailable, "stream %q is not followed by this VM", stream)
}

func decodeRequest(body []byte, message proto.Message) error {
	return drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, proto.Unmarshal(body, message), "decode a peer's request")
}

func (p *PeerRelay) handleFetchRecords(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var req drpb.LogFetchRecordsRequest
	if err := decodeRequest(body, &req); err != nil {
		return nil, err
	}
	f, err := p.follower(req.Stream)
	if err != nil {
		return nil, err
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	resp := &drpb.LogFetchRecordsResponse{First: f.progress.appliedOffset() + 1, Next: f.progress.appliedOffset() + 1}
	if len(f.recentRecords.records) > 0 {
		resp.First = f.recentRecords.records[0].Offset
	}
	resp.Confirmed, resp.ConfirmedAgoNanos = f.confirmationAge()
	for _, r := range f.recentRecords.recordsFrom(req.From, maxRelayRecords, maxRelayBytes) {
		resp.Records = append(resp.Records, &drpb.LogRawRecord{
			Offset: r.Offset, TimeUnixNano: r.Time.UnixNano(), Data: r.Data,
		})
	}
	return resp, nil
}

// confirmationAge returns the age of the last confirmation in nanoseconds, false
// if there is none.
func (f *Follower) confirmationAge() (bool, int64) {
	if f.progress.confirmedAt().IsZero() {
		return false, 0
	}
	return true, max(f.config.Clock.Since(f.progress.confirmedAt()).Nanoseconds(), 0)
}

// handleFetchState returns one page of a state. A caller starts with Offset 0 and
// requests the other pages with the offset of the first response.
func (p *PeerRelay) handleFetchState(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var req drpb.LogFetchStateRequest
	if err := decodeRequest(body, &req); err != nil {
		return nil, err
	}
	f, err := p.follower(req.Stream)
	if err != nil {
		return nil, err
	}
	cached := p.stateFor(f, req.Above, req.Offset)
	if cached == nil {
		return &drpb.LogFetchStateResponse{}, nil
	}
	size := uint64(len(cached.data))
	start := min(req.Position, size)
	return &drpb.LogFetchStateResponse{
		Offset: cached.offset, Size: size, Hash: cached.hash[:], Data: cached.data[start:min(start+maxRelayBytes, size)],
	}, nil
}

func (p *PeerRelay) handleLogStatus(context.Context, drpeer.Sender, []byte) (proto.Message, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resp := &drpb.LogStatusResponse{}
	for stream, f := range p.followers {
		f.mu.RLock()
		s := &drpb.LogStreamStatus{Stream: stream, Offset: f.progress.appliedOffset()}
		s.Confirmed, s.ConfirmedAgoNanos = f.confirmationAge()
		f.mu.RUnlock()
		resp.Streams = append(resp.Streams, s)
	}
	return resp, nil
}
