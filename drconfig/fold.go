package drconfig

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/dotterelridge/dotterelridge/drjson"
	"github.com/dotterelridge/dotterelridge/drlog"
)

const (
	// HistoryWindow is the number of offsets for which results and deletions are
	// kept. A change based on an older offset is rejected, so that a retry cannot
	// take effect again after the first result was dropped. 4,096 offsets are
	// about five hours at the target of 20,000 changes per day.
	HistoryWindow = 4096
	// maxProblems limits the problems that are kept for a rejected change.
	maxProblems = 16
)

var _ drlog.Folder = (*Fold)(nil)

// Fold is the replicated state of the config stream: the current configuration and the
// results of recent changes. A change is accepted if it is valid and none of its
// objects changed after its BasedOn. One goroutine at a time may call Apply and
// Restore; the other methods are safe for concurrent use.
type Fold struct {
	current       atomic.Pointer[Config]
	mu            sync.RWMutex
	appliedOffset uint64
	lastChanged   map[Ref]uint64    // offset of the last change; has recently deleted objects too
	deletions     []deletion        // oldest first
	results       map[string]Result // by the change's ID
	resultIDs     []string          // keys of results, oldest first
	listeners     []func(before, after Config)
}

// deletion is the offset at which an object was deleted. It is kept so that a change
// based on an earlier offset cannot recreate the object.
type deletion struct {
	ref    Ref
	offset uint64
}

// NewFold returns the state before the first record: an empty configuration.
func NewFold() *Fold {
	f := &Fold{lastChanged: map[Ref]uint64{}, results: map[string]Result{}}
	f.current.Store(&Config{})
	return f
}

// Current returns the current configuration. It takes no lock.
func (f *Fold) Current() Config { return *f.current.Load() }

// Offset returns the offset of the last applied record, 0 if none. A new change
// should use it as BasedOn.
func (f *Fold) Offset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.appliedOffset
}

// Result returns whether the change was accepted and why not. It returns false if the
// change was not applied within the last HistoryWindow offsets.
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

// Apply implements drlog.Folder. It ignores records that were applied before, are not
// changes, or repeat a change whose result is kept.
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

// notify calls the listeners. It does not hold f.mu meanwhile, so that they may call
// Result.
func (f *Fold) notify(before, after Config) {
	f.mu.RLock()
	listeners := slices.Clone(f.listeners)
	f.mu.RUnlock()
	for _, listener := range listeners {
		listener(before, after)
	}
}

// applyChange stores the result of a new change at the applied offset and returns the
// resulting configuration. problems are those found when it was decoded. f.mu must be
// held.
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
		// A problem may quote bytes of the change that are no text; a snapshot holds
		// only text.
		result.Problems = append(result.Problems, strings.ToValidUTF8(p.String(), "\uFFFD"))
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

// recordChange stores that an object was put or deleted at the applied offset.
func (f *Fold) recordChange(r Ref, deleted bool) {
	f.deletions = slices.DeleteFunc(f.deletions, func(d deletion) bool { return d.ref == r })
	f.lastChanged[r] = f.appliedOffset
	if deleted {
		f.deletions = append(f.deletions, deletion{r, f.appliedOffset})
	}
}

// conflicts returns a problem for each object of the change that changed after the
// offset that the change is based on, or one problem if that offset is out of range.
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

// oldestBase returns the lowest offset that a change at the applied offset may be
// based on.
func (f *Fold) oldestBase() uint64 { return f.appliedOffset - min(f.appliedOffset, HistoryWindow) }

// dropExpired drops the results and deletions that are older than HistoryWindow. It
// depends only on the applied offset, so all VMs drop the same ones.
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
