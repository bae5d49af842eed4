package drlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

// Names of the peer methods that a PeerRelay calls and handles.
const (
	MethodFetchRecords = "FetchRecords"
	MethodFetchState   = "FetchState"
	MethodLogStatus    = "LogStatus"
)

const (
	// peersPerCall is the number of peers called at once. Confirmations spread
	// from peer to peer, so a few are enough even with many VMs.
	peersPerCall = 3

	// maxRelayRecords and maxRelayBytes limit one response to a peer.
	maxRelayRecords = 500
	maxRelayBytes   = 1 << 20

	// stateCacheTTL is how long an encoded state is reused for new transfers to
	// peers. Transfers that have begun continue from it until it is replaced.
	stateCacheTTL = stateTransferTimeout
)

// PeerRelayConfig configures a PeerRelay. Caller, Self and Members are required.
type PeerRelayConfig struct {
	Caller drpeer.Caller
	// Self is the name of this VM. Members returns the VMs that may be called;
	// Self among them is skipped.
	Self    string
	Members func() []string
	Clock   drclock.Clock
}

// PeerRelay reads streams through peers and serves this VM's streams to them. It is
// safe for concurrent use.
type PeerRelay struct {
	config    PeerRelayConfig
	mu        sync.Mutex
	followers map[string]*Follower    // by stream
	states    map[string]*cachedState // by stream
	preferred string                  // the VM last seen with the newest confirmation
}

var _ Relay = (*PeerRelay)(nil)

// NewPeerRelay returns a PeerRelay that serves no streams until Add is called.
func NewPeerRelay(config PeerRelayConfig) *PeerRelay {
	if config.Clock == nil {
		config.Clock = drclock.System{}
	}
	return &PeerRelay{config: config, followers: make(map[string]*Follower), states: make(map[string]*cachedState)}
}

// Add makes the relay serve the follower's stream to peers. It replaces an earlier
// follower of the same stream.
func (p *PeerRelay) Add(f *Follower) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers[f.Stream()] = f
}

// choosePeers returns up to peersPerCall peers: the preferred one, if it is a
// member, and random others.
func (p *PeerRelay) choosePeers() []string {
	vms := slices.Clone(p.config.Members())
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	p.mu.Lock()
	preferred := p.preferred
	p.mu.Unlock()
	if i := slices.Index(vms, preferred); i > 0 {
		vms[0], vms[i] = vms[i], vms[0]
	}
	vms = slices.DeleteFunc(vms, func(vm string) bool { return vm == p.config.Self })
	return vms[:min(len(vms), peersPerCall)]
}

// setPreferred makes the next calls include vm.
func (p *PeerRelay) setPreferred(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preferred = vm
}

// FetchRecords implements Relay. It returns the records of the peer that has
// applied the most, and the newest confirmation among the peers that answered,
// except those that no longer hold the record at offset from.
func (p *PeerRelay) FetchRecords(ctx context.Context, stream string, from uint64) (RelayedPage, error) {
	sent := p.config.Clock.Now()
	req := &drpb.LogFetchRecordsRequest{Stream: stream, From: from}
	answers, err := callPeers[drpb.LogFetchRecordsResponse](ctx, p, MethodFetchRecords, req)
	if err != nil {
		return RelayedPage{}, err
	}
	var best RelayedPage
	var newest time.Time
	var gap *GapError
	for vm, answer := range answers {
		if from < answer.First && from < answer.Next {
			gap = &GapError{Stream: stream, From: from, First: answer.First, Next: answer.Next}
			continue
		}
		if answer.Next > best.Next {
			best.Page = decodePage(answer)
		}
		// The peer measured the age after the request was sent, so subtracting
		// it from the time of sending gives a time that may be too early but
		// never too late.
		if at := sent.Add(-time.Duration(answer.ConfirmedAgoNanos)); answer.Confirmed && at.After(newest) {
			newest = at
			p.setPreferred(vm)
		}
	}
	if gap != nil && len(best.Records) == 0 {
		return RelayedPage{}, gap
	}
	best.Confirmed = newest
	return best, nil
}

// decodePage converts a peer's response to a Page.
func decodePage(answer *drpb.LogFetchRecordsResponse) Page {
	page := Page{First: answer.First, Next: answer.Next}
	for _, r := range answer.Records {
		page.Records = append(page.Records, Record{
			Offset: r.Offset, Time: time.Unix(0, r.TimeUnixNano).UTC(), Data: r.Data,
		})
	}
	return page
}

// callPeers calls up to peersPerCall peers at the same time and returns their
// answers by VM. It returns an error only if no peer answered.
func callPeers[T any, M interface {
	*T
	proto.Message
}](ctx context.Context, p *PeerRelay, method string, req proto.Message) (map[string]M, error) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	answers := make(map[string]M)
	err := errors.New("there are no other members to read from")
	for _, vm := range p.choosePeers() {
		calls.Go(func() {
			resp := M(new(T))
			callErr := p.config.Caller.Call(ctx, vm, method, req, resp)
			mu.Lock()
			defer mu.Unlock()
			if callErr != nil {
				err = callErr
				return
			}
			answers[vm] = resp
		})
	}
	calls.Wait()
	if len(answers) == 0 {
		return nil, drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "read the log through peers")
	}
	return answers, nil
}
