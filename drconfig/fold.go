package drconfig

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dotterelridge/dotterelridge/drjson"
	"github.com/dotterelridge/dotterelridge/drlog"
)

const (
	// HistoryWindow is the number of offsets for which results and deletions are
	// kept. A change based on an older offset is rejected, so a repeat whose
	// first result is forgotten cannot take effect again. 4,096 offsets are
	// about five hours at the target of 20,000 changes per day.
	HistoryWindow = 4096
	// maxProblems bounds the text that is kept for a rejected change.
	maxProblems = 16
)

var _ drlog.Folder = (*Fold)(nil)

// Fold is the configuration that the records of the config stream produce. A
// record is accepted if its change is valid and touches no object that changed
// after its BasedOn. One goroutine applies records; any may read.
type Fold struct {
	current       atomic.Pointer[Config]
	mu            sync.RWMutex
	appliedOffset uint64
	lastChanged   map[Ref]uint64 // offset of the last change, also of deleted objects
	deletions     []deletion     // oldest first
	results       map[string]Result
	resultIDs     []string // ids in results, oldest first
	listeners     []func(before, after Config)
}

// deletion remembers when an object was deleted, so that a change based on an
// earlier offset does not bring it back.
type deletion struct {
	ref    Ref
	offset uint64
}

// NewFold returns the fold of an empty stream.
func NewFold() *Fold {
	f := &Fold{lastChanged: map[Ref]uint64{}, results: map[string]Result{}}
	f.current.Store(&Config{})
	return f
}

// Current returns the configuration in force without taking a lock.
func (f *Fold) Current() Config { return *f.current.Load() }

// Offset returns the offset of the last applied record, which a new change
// should be based on.
func (f *Fold) Offset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.appliedOffset
}

// Result returns what became of the change, false if it is not in the last
// Window offsets.
func (f *Fold) Result(changeID string) (Result, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r, ok := f.results[changeID]
	r.Problems = slices.Clone(r.Problems)
	return r, ok
}

// OnChange registers a function that is called with the configurations before
// and after each accepted change or restore, in order, on the goroutine that
// applies records. It must not block or apply records.
func (f *Fold) OnChange(listener func(before, after Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, listener)
}

// Apply implements drlog.Folder.
func (f *Fold) Apply(r drlog.Record) {
	f.mu.Lock()
	if r.Offset <= f.appliedOffset {
		f.mu.Unlock()
		return
	}
	f.appliedOffset = r.Offset
	f.dropExpired()
	before, after := f.Current(), f.Current()
	c, problems, err := decodeChange(r.Data)
	if _, repeated := f.results[c.ID]; err == nil && !repeated {
		after = f.applyChange(c, problems)
		f.current.Store(&after)
	}
	f.mu.Unlock()
	if after.offset != before.offset {
		f.notify(before, after)
	}
}

// notify calls the listeners without holding the lock, so that they may call
// Result.
func (f *Fold) notify(before, after Config) {
	f.mu.RLock()
	listeners := slices.Clone(f.listeners)
	f.mu.RUnlock()
	for _, listener := range listeners {
		listener(before, after)
	}
}

// applyChange records the result of a new change at the applied offset and returns
// the configuration that follows from it.
func (f *Fold) applyChange(c Change, problems []drjson.Problem) Config {
	after := f.Current()
	if problems == nil {
		problems = f.conflicts(c)
	}
	if problems == nil {
		after, problems = c.ApplyTo(after)
	}
	result := Result{Offset: f.appliedOffset, Accepted: problems == nil}
	for i, p := range problems {
		if i == maxProblems {
			result.Problems = append(result.Problems, fmt.Sprintf("and %d more", len(problems)-i))
			break
		}
		result.Problems = append(result.Problems, p.String())
	}
	f.results[c.ID] = result
	f.resultIDs = append(f.resultIDs, c.ID)
	if !result.Accepted {
		return after
	}
	for _, o := range c.Puts {
		f.recordChange(o.Ref(), false)
	}
	for _, r := range c.Deletes {
		f.recordChange(r, true)
	}
	return after.WithOffset(f.appliedOffset)
}

func (f *Fold) recordChange(r Ref, deleted bool) {
	f.deletions = slices.DeleteFunc(f.deletions, func(d deletion) bool { return d.ref == r })
	f.lastChanged[r] = f.appliedOffset
	if deleted {
		f.deletions = append(f.deletions, deletion{r, f.appliedOffset})
	}
}

// conflicts says which objects changed after the offset the change is based on.
func (f *Fold) conflicts(c Change) []drjson.Problem {
	if c.BasedOn >= f.appliedOffset {
		return []drjson.Problem{{Reason: fmt.Sprintf("based on offset %d, which is not before the change's own offset %d", c.BasedOn, f.appliedOffset)}}
	}
	if c.BasedOn < f.oldestBase() {
		return []drjson.Problem{{Reason: fmt.Sprintf("based on offset %d, which is more than %d offsets old", c.BasedOn, HistoryWindow)}}
	}
	var problems []drjson.Problem
	for _, r := range c.refs() {
		if at := f.lastChanged[r]; at > c.BasedOn {
			problems = append(problems, drjson.Problem{Reason: fmt.Sprintf("%s changed at offset %d, after offset %d that the change is based on", r, at, c.BasedOn)})
		}
	}
	return problems
}

// oldestBase is the lowest offset that a change at the applied offset may be based
// on.
func (f *Fold) oldestBase() uint64 { return f.appliedOffset - min(f.appliedOffset, HistoryWindow) }

// dropExpired drops results and deletions older than the window. It depends only on
// the applied offset, so all folds drop the same ones.
func (f *Fold) dropExpired() {
	oldest := f.oldestBase()
	n := 0
	for n < len(f.resultIDs) && f.results[f.resultIDs[n]].Offset < oldest {
		delete(f.results, f.resultIDs[n])
		n++
	}
	f.resultIDs = slices.Delete(f.resultIDs, 0, n)
	n = 0
	for n < len(f.deletions) && f.deletions[n].offset < oldest {
		delete(f.lastChanged, f.deletions[n].ref)
		n++
	}
	f.deletions = slices.Delete(f.deletions, 0, n)
}
