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
	"github.com/dotterelridge/dotterelridge/drrequest"
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
func (s *suspectNotices) Broadcast(ctx context.Context, notice drrouter.Notice) error {
	message := encodeNotice(notice)
	if notice.Kind == drrouter.Strike {
		s.metrics.Counter(drmetric.Strikes).Inc(int64(len(notice.Fingerprints)))
		s.appends.Go(func() { s.appendNotice(message) })
	}
	var calls sync.WaitGroup
	errs := make(chan error, len(s.view.Members()))
	for _, m := range s.view.Candidates() {
		if m.VM == s.view.Self().VM {
			continue
		}
		calls.Go(func() {
			if err := s.caller.Call(ctx, m.VM, methodStrike, message, &drpb.SuspectAck{}); err != nil {
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
func (s *suspectNotices) appendNotice(message *drpb.SuspectNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), strikeAppendTimeout)
	defer cancel()
	entry, err := proto.Marshal(message)
	if err == nil {
		// If the append fails, the broadcast still reaches the VMs that are
		// running now, so the error is dropped.
		_, _ = s.journal.Append(ctx, entry)
	}
}

// register registers the handler for notices of other VMs.
func (s *suspectNotices) register(registry drpeer.Registry) {
	registry.Handle(methodStrike, func(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
		var p drpb.SuspectNotice
		if err := proto.Unmarshal(body, &p); err != nil {
			return nil, err
		}
		s.suspects.Observe(decodeNotice(&p))
		return &drpb.SuspectAck{}, nil
	})
}

// Apply implements drlog.Folder. Records that cannot be decoded are skipped.
func (s *suspectNotices) Apply(record drlog.Record) {
	var p drpb.SuspectNotice
	if proto.Unmarshal(record.Data, &p) == nil {
		s.suspects.Observe(decodeNotice(&p))
	}
}

// Snapshot implements drlog.Folder. Snapshots are empty: strikes expire after an
// hour, so a VM that starts from a snapshot misses only those that the log no longer
// retains.
func (s *suspectNotices) Snapshot() []byte { return nil }

// Restore implements drlog.Folder. There is nothing to restore, see Snapshot.
func (s *suspectNotices) Restore(uint64, []byte) error { return nil }

func encodeNotice(notice drrouter.Notice) *drpb.SuspectNotice {
	message := &drpb.SuspectNotice{Kind: uint32(notice.Kind), Id: notice.ID, Vm: notice.VM, Backend: notice.Backend, Instance: notice.Instance}
	for _, f := range notice.Fingerprints {
		message.Fingerprints = append(message.Fingerprints, f[:])
	}
	for _, f := range notice.Blocked {
		message.Blocked = append(message.Blocked, f[:])
	}
	return message
}

func decodeNotice(message *drpb.SuspectNotice) drrouter.Notice {
	return drrouter.Notice{
		Kind: drrouter.NoticeKind(message.Kind), ID: message.Id, VM: message.Vm, Backend: message.Backend, Instance: message.Instance,
		Fingerprints: decodeFingerprints(message.Fingerprints), Blocked: decodeFingerprints(message.Blocked),
	}
}

// decodeFingerprints skips fingerprints of a wrong length.
func decodeFingerprints(encoded [][]byte) []drrequest.Fingerprint {
	var fingerprints []drrequest.Fingerprint
	for _, b := range encoded {
		if len(b) == len(drrequest.Fingerprint{}) {
			fingerprints = append(fingerprints, drrequest.Fingerprint(b))
		}
	}
	return fingerprints
}
