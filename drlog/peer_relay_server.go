package drlog

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// Register makes the relay answer peers' questions about its followers.
func (p *PeerRelay) Register(r drpeer.Registry) {
	r.Handle(MethodFetchRecords, p.answerRecords)
	r.Handle(MethodFetchState, p.answerState)
	r.Handle(MethodLogStatus, p.answerStatus)
}

func (p *PeerRelay) follower(stream string) (*Follower, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.followers[stream]; f != nil {
		return f, nil
	}
	return nil, drerror.New(drerror.NotRun, drerror.Unavailable, "stream %q is not followed here", stream)
}

func decode(body []byte, m proto.Message) error {
	return drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, proto.Unmarshal(body, m), "decode the question")
}

func (p *PeerRelay) answerRecords(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var req drpb.LogFetchRecordsRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	f, err := p.follower(req.Stream)
	if err != nil {
		return nil, err
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	resp := &drpb.LogFetchRecordsResponse{First: f.progress.held() + 1, Next: f.progress.held() + 1}
	if len(f.tail.records) > 0 {
		resp.First = f.tail.records[0].Offset
	}
	resp.Confirmed, resp.ConfirmedAgoNanos = f.confirmedAgo()
	for _, r := range f.tail.from(req.From, relayRecords, relayBytes) {
		resp.Records = append(resp.Records, &drpb.LogRawRecord{
			Offset: r.Offset, TimeUnixNano: r.Time.UnixNano(), Data: r.Data,
		})
	}
	return resp, nil
}

// confirmedAgo returns the age of the confirmation in nanoseconds.
func (f *Follower) confirmedAgo() (bool, int64) {
	if f.progress.at().IsZero() {
		return false, 0
	}
	return true, max(f.config.Clock.Since(f.progress.at()).Nanoseconds(), 0)
}

func (p *PeerRelay) answerState(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var req drpb.LogFetchStateRequest
	if err := decode(body, &req); err != nil {
		return nil, err
	}
	f, err := p.follower(req.Stream)
	if err != nil {
		return nil, err
	}
	h := p.state(f, req.Above, req.Offset)
	if h == nil {
		return &drpb.LogFetchStateResponse{}, nil
	}
	size := uint64(len(h.data))
	start := min(req.Position, size)
	return &drpb.LogFetchStateResponse{
		Offset: h.offset, Size: size, Hash: h.hash[:], Data: h.data[start:min(start+relayBytes, size)],
	}, nil
}

func (p *PeerRelay) answerStatus(context.Context, drpeer.Sender, []byte) (proto.Message, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	resp := &drpb.LogStatusResponse{}
	for stream, f := range p.followers {
		f.mu.RLock()
		s := &drpb.LogStreamStatus{Stream: stream, Offset: f.progress.held()}
		s.Confirmed, s.ConfirmedAgoNanos = f.confirmedAgo()
		f.mu.RUnlock()
		resp.Streams = append(resp.Streams, s)
	}
	return resp, nil
}
