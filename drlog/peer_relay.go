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

// Methods that a PeerRelay calls and answers.
const (
	MethodFetchRecords = "FetchRecords"
	MethodFetchState   = "FetchState"
	MethodLogStatus    = "LogStatus"
)

const (
	// peersPerCall is the number of peers asked at once. Confirmations spread from
	// peer to peer, so that a few are enough in a large fleet.
	peersPerCall = 3

	maxRelayRecords = 500
	maxRelayBytes   = 1 << 20

	// stateCacheTTL is how long a state handed out in pages is kept and reused.
	stateCacheTTL = stateTransferTimeout
)

// PeerRelayConfig sets up a PeerRelay.
type PeerRelayConfig struct {
	Caller drpeer.Caller
	// Self is this VM, Members the VMs that may be asked.
	Self    string
	Members func() []string
	Clock   drclock.Clock
}

// PeerRelay reads streams through peers and answers their questions.
type PeerRelay struct {
	config    PeerRelayConfig
	mu        sync.Mutex
	followers map[string]*Follower
	states    map[string]*cachedState
	preferred string // last seen with the newest confirmation
}

var _ Relay = (*PeerRelay)(nil)

// NewPeerRelay returns a PeerRelay that answers for no stream yet.
func NewPeerRelay(config PeerRelayConfig) *PeerRelay {
	if config.Clock == nil {
		config.Clock = drclock.System{}
	}
	return &PeerRelay{config: config, followers: make(map[string]*Follower), states: make(map[string]*cachedState)}
}

// Add makes the relay answer for the follower's stream.
func (p *PeerRelay) Add(f *Follower) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.followers[f.Stream()] = f
}

// choosePeers returns the preferred peer, then random ones, at most askPeers.
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

// setPreferred makes vm the first choice of the next questions.
func (p *PeerRelay) setPreferred(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preferred = vm
}

// FetchRecords implements Relay. It takes the records of the peer that holds
// most, and the newest confirmation of all that answered.
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
		// The age was measured before the answer arrived; counting it from the
		// question makes the time too early, never too late.
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

func decodePage(answer *drpb.LogFetchRecordsResponse) Page {
	page := Page{First: answer.First, Next: answer.Next}
	for _, r := range answer.Records {
		page.Records = append(page.Records, Record{
			Offset: r.Offset, Time: time.Unix(0, r.TimeUnixNano).UTC(), Data: r.Data,
		})
	}
	return page
}

// callPeers asks a few peers at the same time and returns the answers by VM; an
// error if none came.
func callPeers[T any, M interface {
	*T
	proto.Message
}](ctx context.Context, p *PeerRelay, method string, req proto.Message) (map[string]M, error) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	answers := make(map[string]M)
	err := errors.New("no peers are known")
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
		return nil, drerror.Wrap(drerror.NotRun, drerror.LogUnavailable, err, "read through peers")
	}
	return answers, nil
}
