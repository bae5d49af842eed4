package drserve

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

const (
	methodStrike = "Strike"
	// strikeAppendTimeout limits the append of a strike to the log, which runs
	// in the background.
	strikeAppendTimeout = 10 * time.Second
)

// suspectNotices sends notices about requests that are suspected of crashing backend
// servers to the other entry VMs, and passes received notices to suspects. Strikes
// also go through the log, so that VMs that start later learn of them.
type suspectNotices struct {
	caller  drpeer.Caller
	view    drmember.View
	journal journal
	metrics *drmetric.Metrics
	// suspects handles the notices that this VM receives. It must be set before
	// the first one arrives.
	suspects *drrouter.Suspects
	appends  sync.WaitGroup
}

// Broadcast implements drrouter.Broadcaster. It waits for all VMs and returns the
// error of one that could not be reached, if any.
func (s *suspectNotices) Broadcast(ctx context.Context, n drrouter.Notice) error {
	p := encodeNotice(n)
	if n.Kind == drrouter.Strike {
		s.metrics.Counter(drmetric.Strikes).Inc(int64(len(n.Fingerprints)))
		s.appends.Go(func() { s.appendNotice(p) })
	}
	var calls sync.WaitGroup
	errs := make(chan error, len(s.view.Members()))
	for _, m := range s.view.Candidates() {
		if m.VM == s.view.Self().VM {
			continue
		}
		calls.Go(func() {
			if err := s.caller.Call(ctx, m.VM, methodStrike, p, &drpb.SuspectAck{}); err != nil {
				select {
				case errs <- err:
				default:
				}
			}
		})
	}
	calls.Wait()
	select {
	case err := <-errs:
		return err
	default:
		return nil
	}
}

// appendNotice appends a strike to the log. It does not report errors.
func (s *suspectNotices) appendNotice(p *drpb.SuspectNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), strikeAppendTimeout)
	defer cancel()
	entry, err := proto.Marshal(p)
	if err == nil {
		// If the append fails, the broadcast still reaches the VMs that are
		// running now, so the error is dropped.
		_, _ = s.journal.Append(ctx, entry)
	}
}

// register registers the handler for notices of other VMs.
func (s *suspectNotices) register(r drpeer.Registry) {
	r.Handle(methodStrike, func(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
		var p drpb.SuspectNotice
		if err := proto.Unmarshal(body, &p); err != nil {
			return nil, err
		}
		s.suspects.Observe(decodeNotice(&p))
		return &drpb.SuspectAck{}, nil
	})
}

// Apply implements drlog.Folder. Records that cannot be decoded are skipped.
func (s *suspectNotices) Apply(r drlog.Record) {
	var p drpb.SuspectNotice
	if proto.Unmarshal(r.Data, &p) == nil {
		s.suspects.Observe(decodeNotice(&p))
	}
}

// Snapshot implements drlog.Folder. Snapshots are empty: strikes expire after an
// hour, so a VM that starts from a snapshot misses only those that the log no longer
// retains.
func (s *suspectNotices) Snapshot() []byte { return nil }

// Restore implements drlog.Folder. There is nothing to restore, see Snapshot.
func (s *suspectNotices) Restore(uint64, []byte) error { return nil }

func encodeNotice(n drrouter.Notice) *drpb.SuspectNotice {
	p := &drpb.SuspectNotice{Kind: uint32(n.Kind), Id: n.ID, Vm: n.VM, Backend: n.Backend, Instance: n.Instance}
	for _, f := range n.Fingerprints {
		p.Fingerprints = append(p.Fingerprints, f[:])
	}
	for _, f := range n.Blocked {
		p.Blocked = append(p.Blocked, f[:])
	}
	return p
}

func decodeNotice(p *drpb.SuspectNotice) drrouter.Notice {
	return drrouter.Notice{
		Kind: drrouter.NoticeKind(p.Kind), ID: p.Id, VM: p.Vm, Backend: p.Backend, Instance: p.Instance,
		Fingerprints: decodeFingerprints(p.Fingerprints), Blocked: decodeFingerprints(p.Blocked),
	}
}

// decodeFingerprints skips fingerprints of a wrong length.
func decodeFingerprints(bs [][]byte) []drrouter.Fingerprint {
	var fs []drrouter.Fingerprint
	for _, b := range bs {
		if len(b) == len(drrouter.Fingerprint{}) {
			fs = append(fs, drrouter.Fingerprint(b))
		}
	}
	return fs
}
