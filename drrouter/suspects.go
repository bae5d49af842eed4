package drrouter

import (
	"container/list"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
)

const (
	// suspectLife is how long a strike or block lasts. Callers resend within
	// minutes; a longer life would keep refusing after a fixed backend.
	suspectLife = time.Hour
	// maxSuspects bounds the memory to about 4 MB.
	maxSuspects = 16384
	// maxStrikes is the number of crashes that one request may cause.
	maxStrikes = 2
	// noticeWait bounds the delay of an answer by a broadcast.
	noticeWait = time.Second
	// trialLife ends the claim of a VM that died during a trial.
	trialLife = 2 * time.Minute
	maxTrials = 1024
	// rivalPause lets the VM with the lower name claim first after two VMs gave
	// way to each other. It covers a broadcast.
	rivalPause = 20 * time.Millisecond
	// fallenLife is how long an instance that crashed is avoided. Its owner
	// reports the next instance within seconds. A longer life would keep an
	// engine out of use that only this VM could not reach for a moment.
	fallenLife = 10 * time.Second
	// maxCleared ids are remembered so that a strike which arrives late, from
	// the log, does not undo a clearance.
	maxCleared = 8
)

type suspect struct {
	fingerprint Fingerprint
	crashes     []string // ids, at most maxStrikes+1; empty once cleared
	cleared     []string // ids of crashes that it was cleared of
	blocked     bool
	expires     time.Time
}

// fall is the crash of an instance of a backend server.
type fall struct {
	instance string
	at       time.Time
}

type trialKey struct {
	fingerprint Fingerprint
	vm          string
}

type trial struct {
	id      string
	backend string
	expires time.Time
}

// Suspects finds requests that crash backend servers and stops them. It is
// safe for concurrent use.
type Suspects struct {
	clock   drclock.Clock
	vm      string
	peers   Broadcaster
	pending sync.WaitGroup

	mu      sync.Mutex
	seq     uint64
	started string // makes crash ids unique across restarts
	records map[Fingerprint]*list.Element
	order   *list.List // of *suspect, oldest first
	running map[string]map[*Run]struct{}
	trials  map[trialKey]trial
	// fallen is the last instance of each backend server whose crash was
	// counted. Requests sent to it before its end is known here break too, but
	// an instance crashes once.
	fallen  map[string]fall
	changed chan struct{}
}

// NewSuspects returns a Suspects for the entry VM vm.
func NewSuspects(c drclock.Clock, vm string, peers Broadcaster) *Suspects {
	return &Suspects{
		clock: c, vm: vm, peers: peers,
		started: fmt.Sprint(c.Now().UnixNano()),
		records: make(map[Fingerprint]*list.Element),
		order:   list.New(),
		running: make(map[string]map[*Run]struct{}),
		trials:  make(map[trialKey]trial),
		fallen:  make(map[string]fall),
		changed: make(chan struct{}),
	}
}

// Close waits for notices that are being sent.
func (s *Suspects) Close() { s.pending.Wait() }

// Changed returns a channel that is closed at the next change that may let a
// suspect run.
func (s *Suspects) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Check returns an error with Ran if the request is blocked.
func (s *Suspects) Check(f Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.check(f)
}

func (s *Suspects) check(f Fingerprint) error {
	if p := s.find(f); p != nil && p.blocked {
		return drerror.New(drerror.Ran, drerror.CrashesBackend,
			"the request crashed %d backend servers and is blocked", len(p.crashes))
	}
	return nil
}

// find returns the record of f if f is suspected or blocked.
func (s *Suspects) find(f Fingerprint) *suspect {
	p := s.record(f)
	if p == nil || len(p.crashes) == 0 && !p.blocked {
		return nil
	}
	return p
}

func (s *Suspects) record(f Fingerprint) *suspect {
	e := s.records[f]
	if e == nil {
		return nil
	}
	p := e.Value.(*suspect)
	if s.clock.Now().After(p.expires) {
		s.forget(f)
		return nil
	}
	return p
}

// acquit clears f of its strikes and reports whether it had any.
func (s *Suspects) acquit(f Fingerprint) bool {
	p := s.find(f)
	if p == nil || p.blocked {
		return false
	}
	p.cleared = append(p.cleared, p.crashes...)
	p.cleared = p.cleared[max(0, len(p.cleared)-maxCleared):]
	p.crashes = nil
	return true
}

func (s *Suspects) forget(f Fingerprint) {
	if e := s.records[f]; e != nil {
		s.order.Remove(e)
		delete(s.records, f)
	}
}

// Begin registers a request that is about to run on a backend server. It
// returns nil if the request is a suspect and has to wait or run elsewhere,
// because the server runs another suspect or the request runs already. The
// error is that of Check.
func (s *Suspects) Begin(ctx context.Context, f Fingerprint, backend, instance string) (*Run, error) {
	s.mu.Lock()
	if err := s.check(f); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	r := &Run{suspects: s, fingerprint: f, backend: backend, instance: instance}
	if s.find(f) == nil {
		s.register(r)
		s.mu.Unlock()
		return r, nil
	}
	if _, taken := s.occupied(r); taken || len(s.trials) >= maxTrials {
		s.mu.Unlock()
		return nil, nil
	}
	r.trial = s.newID()
	s.register(r)
	s.trials[trialKey{f, s.vm}] = trial{r.trial, backend, s.clock.Now().Add(trialLife)}
	s.mu.Unlock()

	s.tell(ctx, Notice{Kind: Trial, ID: r.trial, VM: s.vm, Backend: backend, Fingerprints: []Fingerprint{f}})
	s.mu.Lock()
	err := s.check(f)
	rival, lost := s.occupied(r)
	s.mu.Unlock()
	if err != nil || lost {
		r.End()
		if err == nil && rival < s.vm {
			_ = s.clock.Sleep(ctx, rivalPause)
		}
		return nil, err
	}
	return r, nil
}

func (s *Suspects) newID() string {
	s.seq++
	return fmt.Sprintf("%s-%s-%d", s.vm, s.started, s.seq)
}

func (s *Suspects) register(r *Run) {
	m := s.running[r.backend]
	if m == nil {
		m = make(map[*Run]struct{})
		s.running[r.backend] = m
	}
	m[r] = struct{}{}
}

// occupied reports whether a trial of r would run beside another suspect or
// beside itself, and on which VM. Of two VMs that claim at the same time, at
// least one sees the claim of the other after its broadcast. It must give way
// whatever its name, since the other may not see its claim.
func (s *Suspects) occupied(r *Run) (vm string, taken bool) {
	now := s.clock.Now()
	for k, t := range s.trials {
		if now.After(t.expires) {
			delete(s.trials, k)
			continue
		}
		if k.vm != s.vm && (t.backend == r.backend || k.fingerprint == r.fingerprint) {
			return k.vm, true
		}
	}
	for b, m := range s.running {
		for o := range m {
			if o == r {
				continue
			}
			if o.fingerprint == r.fingerprint || b == r.backend && s.find(o.fingerprint) != nil {
				return s.vm, true
			}
		}
	}
	return "", false
}

// end ends r. A success clears its request, also of a strike that it received
// while it ran: a plain service may survive the failure of one connection.
func (s *Suspects) end(r *Run, success bool) {
	s.mu.Lock()
	ended := r.ended
	if !ended {
		s.unregister(r)
	}
	kind := TrialEnd
	if success && (!ended || r.crash != nil) && s.acquit(r.fingerprint) {
		kind = Clear
	}
	s.mu.Unlock()
	if kind == Clear || r.trial != "" && !ended {
		n := Notice{Kind: kind, ID: r.trial, VM: s.vm, Backend: r.backend, Fingerprints: []Fingerprint{r.fingerprint}}
		s.pending.Go(func() { s.tell(context.Background(), n) })
	}
}

func (s *Suspects) unregister(r *Run) {
	r.ended = true
	m := s.running[r.backend]
	delete(m, r)
	if len(m) == 0 {
		delete(s.running, r.backend)
	}
	if r.trial != "" {
		delete(s.trials, trialKey{r.fingerprint, s.vm})
	}
	s.wake()
}

func (s *Suspects) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Suspects) crashed(ctx context.Context, r *Run) {
	s.mu.Lock()
	if c := r.crash; c != nil || r.ended {
		s.mu.Unlock()
		if c != nil {
			select {
			case <-c.told:
			case <-ctx.Done():
			}
		}
		return
	}
	if s.isFallen(r.backend, r.instance) {
		s.mu.Unlock()
		return
	}
	s.fallen[r.backend] = fall{r.instance, s.clock.Now()}
	c := &crash{told: make(chan struct{})}
	n := s.strike(r, c)
	s.mu.Unlock()
	s.tell(context.WithoutCancel(ctx), n)
	close(c.told)
}

// Fallen reports whether the instance of the backend server crashed lately. An
// unknown instance of a server of which one crashed counts as that one.
func (s *Suspects) Fallen(backend, instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isFallen(backend, instance)
}

func (s *Suspects) isFallen(backend, instance string) bool {
	f, ok := s.fallen[backend]
	return ok && f.instance != "" && (instance == "" || f.instance == instance) && s.clock.Since(f.at) < fallenLife
}

// inUse reports whether requests of this VM run on the instance. They are
// struck when they break.
func (s *Suspects) inUse(backend, instance string) bool {
	for r := range s.running[backend] {
		if r.instance == instance {
			return true
		}
	}
	return false
}

// strike records a crash against every run that it broke.
func (s *Suspects) strike(r *Run, c *crash) Notice {
	n := Notice{Kind: Strike, ID: s.newID(), VM: s.vm, Backend: r.backend, Instance: r.instance}
	seen := make(map[Fingerprint]bool) // true for requests suspected before
	for o := range s.running[r.backend] {
		if o.instance != r.instance {
			continue
		}
		o.crash = c
		seen[o.fingerprint] = s.find(o.fingerprint) != nil
		s.unregister(o)
	}
	prior := 0
	for f, was := range seen {
		n.Fingerprints = append(n.Fingerprints, f)
		if was {
			prior++
		}
	}
	for f, was := range seen {
		p := s.note(f, n.ID)
		// Several prior suspects meet only when a broadcast was late; one of
		// them may be innocent, so they get one more attempt each.
		if was && (prior == 1 || len(p.crashes) > maxStrikes) {
			p.blocked = true
			n.Blocked = append(n.Blocked, f)
		}
	}
	return n
}

// note adds a crash to the record of f.
func (s *Suspects) note(f Fingerprint, id string) *suspect {
	p := s.record(f)
	if p == nil {
		if len(s.records) >= maxSuspects {
			s.forget(s.order.Front().Value.(*suspect).fingerprint)
		}
		p = &suspect{fingerprint: f}
		s.records[f] = s.order.PushBack(p)
	}
	s.order.MoveToBack(s.records[f])
	p.expires = s.clock.Now().Add(suspectLife)
	if slices.Contains(p.crashes, id) || slices.Contains(p.cleared, id) {
		return p
	}
	if len(p.crashes) <= maxStrikes {
		p.crashes = append(p.crashes, id)
	}
	return p
}

func (s *Suspects) tell(ctx context.Context, n Notice) {
	ctx, cancel := drclock.WithTimeout(ctx, s.clock, noticeWait)
	defer cancel()
	// A VM that cannot be reached learns of strikes from the log.
	_ = s.peers.Broadcast(ctx, n)
}

// Observe applies a notice, received from another VM or read from the log. The
// log may return strikes of this VM, also of an earlier incarnation.
func (s *Suspects) Observe(n Notice) {
	if n.VM == s.vm && n.Kind != Strike {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Kind == Strike && n.VM != s.vm && n.Instance != "" && !s.inUse(n.Backend, n.Instance) {
		s.fallen[n.Backend] = fall{n.Instance, s.clock.Now()}
	}
	for _, f := range n.Fingerprints {
		switch n.Kind {
		case Strike:
			s.note(f, n.ID)
			if n.VM != s.vm {
				delete(s.trials, trialKey{f, n.VM})
			}
		case Trial:
			if len(s.trials) < maxTrials {
				s.trials[trialKey{f, n.VM}] = trial{n.ID, n.Backend, s.clock.Now().Add(trialLife)}
			}
		case TrialEnd, Clear:
			// A claim made after this trial has another id.
			if s.trials[trialKey{f, n.VM}].id == n.ID {
				delete(s.trials, trialKey{f, n.VM})
			}
			if n.Kind == Clear {
				s.acquit(f)
			}
		}
	}
	for _, f := range n.Blocked {
		s.note(f, n.ID).blocked = true
	}
	s.wake()
}
