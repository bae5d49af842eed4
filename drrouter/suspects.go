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
	"github.com/dotterelridge/dotterelridge/drrequest"
)

const (
	// suspectTTL is how long strikes and blocks last. Callers resend within
	// minutes. A longer time would keep refusing requests after the backend
	// server was fixed.
	suspectTTL = time.Hour
	// maxSuspects bounds the records, to about 4 MB.
	maxSuspects = 16384
	// maxStrikes is the number of crashes after which a request is blocked. A
	// request that shared its last crash with other suspects gets one more
	// attempt; see strikeRuns.
	maxStrikes = 2
	// broadcastTimeout bounds how long a broadcast can delay the response to a
	// caller.
	broadcastTimeout = time.Second
	// trialTTL ends the claim of a VM that died during a trial.
	trialTTL = 2 * time.Minute
	// maxTrials bounds the trials on all VMs together.
	maxTrials = 1024
	// trialConflictDelay is how long a VM waits after its trial conflicted with
	// one of a VM with a lower name. If both withdrew, the delay lets the other
	// claim first. It covers a broadcast.
	trialConflictDelay = 20 * time.Millisecond
	// crashedInstanceTTL is how long an instance that crashed is avoided. The
	// VM that owns the server reports its next instance within seconds. A
	// longer time would keep an engine out of use that did not crash and that
	// only this VM could not reach for a moment.
	crashedInstanceTTL = 10 * time.Second
	// maxClearedCrashes is the number of crash ids that a record remembers
	// after the request was cleared of them. A strike that is read late from
	// the replicated log then does not undo the clearance.
	maxClearedCrashes = 8
)

// suspectRecord is what is known of a request that was running during a crash.
type suspectRecord struct {
	fingerprint drrequest.Fingerprint
	crashes     []string // ids, at most maxStrikes+1; empty once cleared
	cleared     []string // ids of the last crashes that the request was cleared of
	blocked     bool
	expires     time.Time
}

// instanceCrash is the crash of one instance of a backend server. instance is
// empty if unknown.
type instanceCrash struct {
	instance  string
	crashedAt time.Time
}

// trialKey identifies the trial of a request on an entry VM. Two VMs may claim
// the same request until one of them withdraws.
type trialKey struct {
	fingerprint drrequest.Fingerprint
	vm          string
}

// trial is a claim to run a suspect on a backend server.
type trial struct {
	id      string
	backend string
	expires time.Time
}

// Suspects finds requests that crash backend servers and blocks them on all
// entry VMs. It is safe for concurrent use.
//
// When a backend server crashes, every request that was running on it gets a
// strike and becomes a suspect. A suspect runs only as a trial: no other
// suspect runs on the same server, and the request runs nowhere else. A suspect
// that succeeds is cleared. One whose server crashes again is blocked: it is
// refused until suspectTTL has passed.
//
// Unexported methods are called with mu held, except end, reportCrash and
// broadcast.
type Suspects struct {
	clock      drclock.Clock
	vm         string
	peers      Broadcaster
	broadcasts sync.WaitGroup // broadcasts in the background

	mu            sync.Mutex
	seq           uint64 // number of the last id
	startTime     string // start of this VM in Unix nanoseconds; makes ids unique across restarts
	records       map[drrequest.Fingerprint]*list.Element
	byLastStrike  *list.List                   // of *suspectRecord, least recently struck first
	runsByBackend map[string]map[*Run]struct{} // by address of the backend server
	trials        map[trialKey]trial
	// lastCrash holds, by address, the last instance of each backend server
	// whose crash was counted. Requests that were sent to this instance before
	// its crash was known here fail too, but must not get a second strike for
	// the same crash.
	lastCrash map[string]instanceCrash
	changed   chan struct{} // closed and replaced at each change; see Changed
}

// NewSuspects returns a Suspects without records for the entry VM with the name
// vm. Notices are sent to the other VMs through peers.
func NewSuspects(clock drclock.Clock, vm string, peers Broadcaster) *Suspects {
	return &Suspects{
		clock: clock, vm: vm, peers: peers,
		startTime:     fmt.Sprint(clock.Now().UnixNano()),
		records:       make(map[drrequest.Fingerprint]*list.Element),
		byLastStrike:  list.New(),
		runsByBackend: make(map[string]map[*Run]struct{}),
		trials:        make(map[trialKey]trial),
		lastCrash:     make(map[string]instanceCrash),
		changed:       make(chan struct{}),
	}
}

// Close waits for the notices that are being sent in the background. Call it
// after the last run has ended.
func (s *Suspects) Close() { s.broadcasts.Wait() }

// Changed returns a channel that is closed at the next change that may allow a
// suspect to run. Get the channel before calling Begin, so that no change is
// missed.
func (s *Suspects) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Check returns an error with verdict Ran if the request is blocked, nil
// otherwise.
func (s *Suspects) Check(fingerprint drrequest.Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkLocked(fingerprint)
}

// checkLocked is Check for callers that hold mu.
func (s *Suspects) checkLocked(fingerprint drrequest.Fingerprint) error {
	if record := s.activeRecord(fingerprint); record != nil && record.blocked {
		return drerror.New(drerror.Ran, drerror.CrashesBackend,
			"the request crashed %d backend servers and is blocked", len(record.crashes))
	}
	return nil
}

// activeRecord returns the record of a request that is a suspect or blocked,
// nil for any other request.
func (s *Suspects) activeRecord(fingerprint drrequest.Fingerprint) *suspectRecord {
	record := s.unexpiredRecord(fingerprint)
	if record == nil || len(record.crashes) == 0 && !record.blocked {
		return nil
	}
	return record
}

// unexpiredRecord returns the record of the request, which may hold only
// cleared crashes. It deletes an expired record and returns nil.
func (s *Suspects) unexpiredRecord(fingerprint drrequest.Fingerprint) *suspectRecord {
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

// clearStrikes clears the request of its strikes and reports whether it was a
// suspect. Blocked requests stay blocked.
func (s *Suspects) clearStrikes(fingerprint drrequest.Fingerprint) bool {
	record := s.activeRecord(fingerprint)
	if record == nil || record.blocked {
		return false
	}
	record.cleared = append(record.cleared, record.crashes...)
	record.cleared = record.cleared[max(0, len(record.cleared)-maxClearedCrashes):]
	record.crashes = nil
	return true
}

func (s *Suspects) deleteRecord(fingerprint drrequest.Fingerprint) {
	if e := s.records[fingerprint]; e != nil {
		s.byLastStrike.Remove(e)
		delete(s.records, fingerprint)
	}
}

// Begin registers a request that is about to run on a backend server. For a
// suspect it first claims a trial, which takes a broadcast to the other VMs. It
// returns nil without an error if the request is a suspect that must wait or
// run elsewhere, because the server runs another suspect or the request is
// running already. It returns the error of Check if the request is blocked.
func (s *Suspects) Begin(ctx context.Context, fingerprint drrequest.Fingerprint, backend, instance string) (*Run, error) {
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

	s.broadcast(ctx, Notice{Kind: Trial, ID: run.trialID, VM: s.vm, Backend: backend, Fingerprints: []drrequest.Fingerprint{fingerprint}})
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

// newID returns an id for a crash or trial that is unique among all VMs.
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

// trialConflict reports whether a trial by the run would conflict with another
// suspect on the same server or with another run of the same request, and
// returns the VM of that run. Of two VMs that claim at the same time, at least
// one sees the claim of the other after its own broadcast. The one that sees it
// must withdraw whatever its name, since the other may not have seen its claim.
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

// end ends the run. A success clears the request, also of a strike that it
// received while it was running: a plain service may go on serving after the
// failure of one connection, which counted as a crash.
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
		notice := Notice{Kind: kind, ID: run.trialID, VM: s.vm, Backend: run.backend, Fingerprints: []drrequest.Fingerprint{run.fingerprint}}
		s.broadcasts.Go(func() { s.broadcast(context.Background(), notice) })
	}
}

// unregister ends the run and releases its trial.
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

// notifyChanged wakes the receivers of Changed.
func (s *Suspects) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reportCrash counts a crash of the run's instance unless it was counted
// before, and returns once it was broadcast. If another run reported the crash,
// it waits for that broadcast.
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

// RecentlyCrashed reports whether the instance of the backend server crashed
// within the last crashedInstanceTTL. An empty instance is taken for the one
// that crashed last.
func (s *Suspects) RecentlyCrashed(backend, instance string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recentlyCrashed(backend, instance)
}

// recentlyCrashed is RecentlyCrashed for callers that hold mu.
func (s *Suspects) recentlyCrashed(backend, instance string) bool {
	crash, ok := s.lastCrash[backend]
	return ok && crash.instance != "" && (instance == "" || crash.instance == instance) && s.clock.Since(crash.crashedAt) < crashedInstanceTTL
}

// hasRuns reports whether requests of this VM are running on the instance.
// Observe must not mark such an instance as crashed: these requests will fail
// too, and reportCrash would then give them no strike.
func (s *Suspects) hasRuns(backend, instance string) bool {
	for r := range s.runsByBackend[backend] {
		if r.mayRunOn(instance) {
			return true
		}
	}
	return false
}

// strikeRuns ends every run that the crash broke and gives its request a
// strike. It returns the notice for the other VMs.
func (s *Suspects) strikeRuns(run *Run, crash *crashEvent) Notice {
	notice := Notice{Kind: Strike, ID: s.newID(), VM: s.vm, Backend: run.backend, Instance: run.instance}
	suspectedBefore := make(map[drrequest.Fingerprint]bool) // by request; false for requests without an earlier strike
	for other := range s.runsByBackend[run.backend] {
		if !other.mayRunOn(run.instance) {
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
		// Only one suspect runs on a server, so it caused the crash and is
		// blocked. Several suspects meet only when a broadcast was late. One of
		// them may be innocent, so they get one more attempt each.
		if suspected && (priorSuspects == 1 || len(record.crashes) > maxStrikes) {
			record.blocked = true
			notice.Blocked = append(notice.Blocked, f)
		}
	}
	return notice
}

// addCrash adds a crash to the record of the request, which it creates if
// needed, unless the crash was counted or cleared before. It starts suspectTTL
// anew.
func (s *Suspects) addCrash(fingerprint drrequest.Fingerprint, crashID string) *suspectRecord {
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

// broadcast sends the notice to the other VMs and returns after at most
// broadcastTimeout. Failures are ignored: a VM that cannot be reached reads the
// strikes from the replicated log.
func (s *Suspects) broadcast(ctx context.Context, notice Notice) {
	ctx, cancel := drclock.WithTimeout(ctx, s.clock, broadcastTimeout)
	defer cancel()
	_ = s.peers.Broadcast(ctx, notice)
}

// Observe applies a notice that was received from another VM or read from the
// replicated log. The log may return strikes of this VM, also from before its
// restart.
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
			// A claim that the VM made after this trial has another id and
			// stays.
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
