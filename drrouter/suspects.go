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
	// suspectTTL is how long a strike or block lasts. Callers resend within
	// minutes; a longer life would keep refusing after a fixed backend.
	suspectTTL = time.Hour
	// maxSuspects bounds the memory to about 4 MB.
	maxSuspects = 16384
	// maxStrikes is the number of crashes that one request may cause.
	maxStrikes = 2
	// broadcastTimeout bounds the delay of an answer by a broadcast.
	broadcastTimeout = time.Second
	// trialTTL ends the claim of a VM that died during a trial.
	trialTTL  = 2 * time.Minute
	maxTrials = 1024
	// trialConflictDelay lets the VM with the lower name claim first after two VMs gave
	// way to each other. It covers a broadcast.
	trialConflictDelay = 20 * time.Millisecond
	// crashedInstanceTTL is how long an instance that crashed is avoided. Its owner
	// reports the next instance within seconds. A longer life would keep an
	// engine out of use that only this VM could not reach for a moment.
	crashedInstanceTTL = 10 * time.Second
	// maxClearedCrashes ids are remembered so that a strike which arrives late, from
	// the log, does not undo a clearance.
	maxClearedCrashes = 8
)

type suspectRecord struct {
	fingerprint Fingerprint
	crashes     []string // ids, at most maxStrikes+1; empty once cleared
	cleared     []string // ids of crashes that it was cleared of
	blocked     bool
	expires     time.Time
}

// instanceCrash is the crash of an instance of a backend server.
type instanceCrash struct {
	instance  string
	crashedAt time.Time
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
	clock      drclock.Clock
	vm         string
	peers      Broadcaster
	broadcasts sync.WaitGroup

	mu            sync.Mutex
	seq           uint64
	startTime     string // makes crash ids unique across restarts
	records       map[Fingerprint]*list.Element
	byLastStrike  *list.List // of *suspect, oldest first
	runsByBackend map[string]map[*Run]struct{}
	trials        map[trialKey]trial
	// lastCrash is the last instance of each backend server whose crash was
	// counted. Requests sent to it before its end is known here break too, but
	// an instance crashes once.
	lastCrash map[string]instanceCrash
	changed   chan struct{}
}

// NewSuspects returns a Suspects for the entry VM vm.
func NewSuspects(clock drclock.Clock, vm string, peers Broadcaster) *Suspects {
	return &Suspects{
		clock: clock, vm: vm, peers: peers,
		startTime:     fmt.Sprint(clock.Now().UnixNano()),
		records:       make(map[Fingerprint]*list.Element),
		byLastStrike:  list.New(),
		runsByBackend: make(map[string]map[*Run]struct{}),
		trials:        make(map[trialKey]trial),
		lastCrash:     make(map[string]instanceCrash),
		changed:       make(chan struct{}),
	}
}

// Close waits for notices that are being sent.
func (s *Suspects) Close() { s.broadcasts.Wait() }

// Changed returns a channel that is closed at the next change that may let a
// suspect run.
func (s *Suspects) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Check returns an error with Ran if the request is blocked.
func (s *Suspects) Check(fingerprint Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkLocked(fingerprint)
}

func (s *Suspects) checkLocked(fingerprint Fingerprint) error {
	if record := s.activeRecord(fingerprint); record != nil && record.blocked {
		return drerror.New(drerror.Ran, drerror.CrashesBackend,
			"the request crashed %d backend servers and is blocked", len(record.crashes))
	}
	return nil
}

// activeRecord returns the record of f if f is suspected or blocked.
func (s *Suspects) activeRecord(fingerprint Fingerprint) *suspectRecord {
	record := s.unexpiredRecord(fingerprint)
	if record == nil || len(record.crashes) == 0 && !record.blocked {
		return nil
	}
	return record
}

func (s *Suspects) unexpiredRecord(fingerprint Fingerprint) *suspectRecord {
	e := s.records[fingerprint]
	if e == nil {
		return nil
	}
	record := e.Value.(*suspectRecord)
	if s.clock.Now().After(record.expires) {
		s.deleteRecord(fingerprint)
		return nil
	}
	return record
}

// clearStrikes clears f of its strikes and reports whether it had any.
func (s *Suspects) clearStrikes(fingerprint Fingerprint) bool {
	record := s.activeRecord(fingerprint)
	if record == nil || record.blocked {
		return false
	}
	record.cleared = append(record.cleared, record.crashes...)
	record.cleared = record.cleared[max(0, len(record.cleared)-maxClearedCrashes):]
	record.crashes = nil
	return true
}

func (s *Suspects) deleteRecord(fingerprint Fingerprint) {
	if e := s.records[fingerprint]; e != nil {
		s.byLastStrike.Remove(e)
		delete(s.records, fingerprint)
	}
}

// Begin registers a request that is about to run on a backend server. It
// returns nil if the request is a suspect and has to wait or run elsewhere,
// because the server runs another suspect or the request runs already. The
// error is that of Check.
func (s *Suspects) Begin(ctx context.Context, fingerprint Fingerprint, backend, instance string) (*Run, error) {
	s.mu.Lock()
	if err := s.checkLocked(fingerprint); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	run := &Run{suspects: s, fingerprint: fingerprint, backend: backend, instance: instance}
	if s.activeRecord(fingerprint) == nil {
		s.register(run)
		s.mu.Unlock()
		return run, nil
	}
	if _, conflict := s.trialConflict(run); conflict || len(s.trials) >= maxTrials {
		s.mu.Unlock()
		return nil, nil
	}
	run.trialID = s.newID()
	s.register(run)
	s.trials[trialKey{fingerprint, s.vm}] = trial{run.trialID, backend, s.clock.Now().Add(trialTTL)}
	s.mu.Unlock()

	s.broadcast(ctx, Notice{Kind: Trial, ID: run.trialID, VM: s.vm, Backend: backend, Fingerprints: []Fingerprint{fingerprint}})
	s.mu.Lock()
	err := s.checkLocked(fingerprint)
	otherVM, conflict := s.trialConflict(run)
	s.mu.Unlock()
	if err != nil || conflict {
		run.End()
		if err == nil && otherVM < s.vm {
			_ = s.clock.Sleep(ctx, trialConflictDelay)
		}
		return nil, err
	}
	return run, nil
}

func (s *Suspects) newID() string {
	s.seq++
	return fmt.Sprintf("%s-%s-%d", s.vm, s.startTime, s.seq)
}

func (s *Suspects) register(run *Run) {
	runs := s.runsByBackend[run.backend]
	if runs == nil {
		runs = make(map[*Run]struct{})
		s.runsByBackend[run.backend] = runs
	}
	runs[run] = struct{}{}
}

// trialConflict reports whether a trial of r would run beside another suspect or
// beside itself, and on which VM. Of two VMs that claim at the same time, at
// least one sees the claim of the other after its broadcast. It must give way
// whatever its name, since the other may not see its claim.
func (s *Suspects) trialConflict(run *Run) (vm string, conflict bool) {
	now := s.clock.Now()
	for k, t := range s.trials {
		if now.After(t.expires) {
			delete(s.trials, k)
			continue
		}
		if k.vm != s.vm && (t.backend == run.backend || k.fingerprint == run.fingerprint) {
			return k.vm, true
		}
	}
	for backend, runs := range s.runsByBackend {
		for other := range runs {
			if other == run {
				continue
			}
			if other.fingerprint == run.fingerprint || backend == run.backend && s.activeRecord(other.fingerprint) != nil {
				return s.vm, true
			}
		}
	}
	return "", false
}

// end ends r. A success clears its request, also of a strike that it received
// while it ran: a plain service may survive the failure of one connection.
func (s *Suspects) end(run *Run, success bool) {
	s.mu.Lock()
	ended := run.ended
	if !ended {
		s.unregister(run)
	}
	kind := TrialEnd
	if success && (!ended || run.crash != nil) && s.clearStrikes(run.fingerprint) {
		kind = Clear
	}
	s.mu.Unlock()
	if kind == Clear || run.trialID != "" && !ended {
		notice := Notice{Kind: kind, ID: run.trialID, VM: s.vm, Backend: run.backend, Fingerprints: []Fingerprint{run.fingerprint}}
		s.broadcasts.Go(func() { s.broadcast(context.Background(), notice) })
	}
}

func (s *Suspects) unregister(run *Run) {
	run.ended = true
	runs := s.runsByBackend[run.backend]
	delete(runs, run)
	if len(runs) == 0 {
		delete(s.runsByBackend, run.backend)
	}
	if run.trialID != "" {
		delete(s.trials, trialKey{run.fingerprint, s.vm})
	}
	s.notifyChanged()
}

func (s *Suspects) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Suspects) reportCrash(ctx context.Context, run *Run) {
	s.mu.Lock()
	if crash := run.crash; crash != nil || run.ended {
		s.mu.Unlock()
		if crash != nil {
			select {
			case <-crash.announced:
			case <-ctx.Done():
			}
		}
		return
	}
	if s.recentlyCrashed(run.backend, run.instance) {
		s.mu.Unlock()
		return
	}
	s.lastCrash[run.backend] = instanceCrash{run.instance, s.clock.Now()}
	crash := &crashEvent{announced: make(chan struct{})}
	notice := s.strikeRuns(run, crash)
	s.mu.Unlock()
	s.broadcast(context.WithoutCancel(ctx), notice)
	close(crash.announced)
}

// RecentlyCrashed reports whether the instance of the backend server crashed lately. An
// unknown instance of a server of which one crashed counts as that one.
func (s *Suspects) RecentlyCrashed(backend, instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recentlyCrashed(backend, instance)
}

func (s *Suspects) recentlyCrashed(backend, instance string) bool {
	crash, ok := s.lastCrash[backend]
	return ok && crash.instance != "" && (instance == "" || crash.instance == instance) && s.clock.Since(crash.crashedAt) < crashedInstanceTTL
}

// hasRuns reports whether requests of this VM run on the instance. They are
// struck when they break.
func (s *Suspects) hasRuns(backend, instance string) bool {
	for r := range s.runsByBackend[backend] {
		if r.instance == instance {
			return true
		}
	}
	return false
}

// strikeRuns records a crash against every run that it broke.
func (s *Suspects) strikeRuns(run *Run, crash *crashEvent) Notice {
	notice := Notice{Kind: Strike, ID: s.newID(), VM: s.vm, Backend: run.backend, Instance: run.instance}
	suspectedBefore := make(map[Fingerprint]bool) // true for requests suspected before
	for other := range s.runsByBackend[run.backend] {
		if other.instance != run.instance {
			continue
		}
		other.crash = crash
		suspectedBefore[other.fingerprint] = s.activeRecord(other.fingerprint) != nil
		s.unregister(other)
	}
	priorSuspects := 0
	for f, suspected := range suspectedBefore {
		notice.Fingerprints = append(notice.Fingerprints, f)
		if suspected {
			priorSuspects++
		}
	}
	for f, suspected := range suspectedBefore {
		record := s.addCrash(f, notice.ID)
		// Several prior suspects meet only when a broadcast was late; one of
		// them may be innocent, so they get one more attempt each.
		if suspected && (priorSuspects == 1 || len(record.crashes) > maxStrikes) {
			record.blocked = true
			notice.Blocked = append(notice.Blocked, f)
		}
	}
	return notice
}

// addCrash adds a crash to the record of f.
func (s *Suspects) addCrash(fingerprint Fingerprint, crashID string) *suspectRecord {
	record := s.unexpiredRecord(fingerprint)
	if record == nil {
		if len(s.records) >= maxSuspects {
			s.deleteRecord(s.byLastStrike.Front().Value.(*suspectRecord).fingerprint)
		}
		record = &suspectRecord{fingerprint: fingerprint}
		s.records[fingerprint] = s.byLastStrike.PushBack(record)
	}
	s.byLastStrike.MoveToBack(s.records[fingerprint])
	record.expires = s.clock.Now().Add(suspectTTL)
	if slices.Contains(record.crashes, crashID) || slices.Contains(record.cleared, crashID) {
		return record
	}
	if len(record.crashes) <= maxStrikes {
		record.crashes = append(record.crashes, crashID)
	}
	return record
}

func (s *Suspects) broadcast(ctx context.Context, notice Notice) {
	ctx, cancel := drclock.WithTimeout(ctx, s.clock, broadcastTimeout)
	defer cancel()
	// A VM that cannot be reached learns of strikes from the log.
	_ = s.peers.Broadcast(ctx, notice)
}

// Observe applies a notice, received from another VM or read from the log. The
// log may return strikes of this VM, also of an earlier incarnation.
func (s *Suspects) Observe(notice Notice) {
	if notice.VM == s.vm && notice.Kind != Strike {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if notice.Kind == Strike && notice.VM != s.vm && notice.Instance != "" && !s.hasRuns(notice.Backend, notice.Instance) {
		s.lastCrash[notice.Backend] = instanceCrash{notice.Instance, s.clock.Now()}
	}
	for _, f := range notice.Fingerprints {
		switch notice.Kind {
		case Strike:
			s.addCrash(f, notice.ID)
			if notice.VM != s.vm {
				delete(s.trials, trialKey{f, notice.VM})
			}
		case Trial:
			if len(s.trials) < maxTrials {
				s.trials[trialKey{f, notice.VM}] = trial{notice.ID, notice.Backend, s.clock.Now().Add(trialTTL)}
			}
		case TrialEnd, Clear:
			// A claim made after this trial has another id.
			if s.trials[trialKey{f, notice.VM}].id == notice.ID {
				delete(s.trials, trialKey{f, notice.VM})
			}
			if notice.Kind == Clear {
				s.clearStrikes(f)
			}
		}
	}
	for _, f := range notice.Blocked {
		s.addCrash(f, notice.ID).blocked = true
	}
	s.notifyChanged()
}
