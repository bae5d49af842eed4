// Package drprompt estimates which beginnings of prompts model engines still hold, from
// the requests that one VM has sent them. It does no input or output.
package drprompt

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
)

const (
	// maxPrefixes bounds the memory of an Index, at about 200 bytes for each prefix.
	maxPrefixes = 8192
	// maxAge is how long an engine is believed to hold a prefix that no request of
	// this VM has used since. The requests of other VMs displace it at an unknown
	// rate.
	maxAge = time.Minute
)

// Index holds which prefixes the engines are believed to hold. It is safe for
// concurrent use.
type Index struct {
	clock drclock.Clock

	mu      sync.Mutex
	engines map[string]*engine // by runner ID
	// recent has the prefixes of all engines, of type *held, the latest used first.
	recent *list.List
}

// engine is what an Index knows of one incarnation of a runner.
type engine struct {
	runner  string
	started int64
	// read is the number of prompt tokens that it has read for this VM.
	read int
	held map[uint64]*list.Element
}

// held is a prefix that an engine is believed to hold.
type held struct {
	engine         *engine
	model, adapter string
	key            uint64
	usedAt         time.Time
	// read is the engine's when the prefix was last used.
	read int
}

// NewIndex returns an empty Index.
func NewIndex(clock drclock.Clock) *Index {
	return &Index{clock: clock, engines: make(map[string]*engine), recent: list.New()}
}

// Record notes that a runner has read a prompt. capacity is the number of tokens that
// it has memory for. Late answers of an earlier incarnation are ignored.
func (x *Index) Record(runner *drfleet.Runner, prompt Prompt, capacity int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.engines[runner.ID]
	if ok && e.started > runner.Started {
		return
	}
	if ok && e.started < runner.Started {
		x.forget(runner.ID)
		ok = false
	}
	if !ok {
		e = &engine{runner: runner.ID, started: runner.Started, held: make(map[uint64]*list.Element)}
		x.engines[runner.ID] = e
	}
	now := x.clock.Now()
	e.read += prompt.Tokens() - e.kept(prompt, now, capacity)
	// The longest prefix becomes the oldest: without the shorter ones it is of no use.
	for _, p := range slices.Backward(prompt.Prefixes) {
		x.remove(e.held[p.Key])
		e.held[p.Key] = x.recent.PushFront(&held{e, prompt.Model, prompt.Adapter, p.Key, now, e.read})
	}
	for x.recent.Len() > maxPrefixes {
		x.evictOldest()
	}
}

// evictOldest forgets the prefix that was used least recently, and its engine if it was
// the last one: the runner may have gone. The caller holds mu.
func (x *Index) evictOldest() {
	oldest := x.recent.Back()
	e := oldest.Value.(*held).engine
	x.remove(oldest)
	if len(e.held) == 0 && x.engines[e.runner] == e {
		delete(x.engines, e.runner)
	}
}

// Kept returns how many tokens from the beginning of a prompt a runner is believed to
// hold. capacity is the number of tokens that it has memory for; a prefix is believed
// displaced once the runner has read that many for this VM alone.
func (x *Index) Kept(runner *drfleet.Runner, prompt Prompt, capacity int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.engines[runner.ID]
	if !ok || e.started != runner.Started {
		return 0
	}
	return e.kept(prompt, x.clock.Now(), capacity)
}

// kept is Index.Kept for one engine. A part counts only if all parts before it do.
func (e *engine) kept(prompt Prompt, now time.Time, capacity int) int {
	tokens := 0
	for _, p := range prompt.Prefixes {
		element, ok := e.held[p.Key]
		if !ok {
			break
		}
		h := element.Value.(*held)
		if now.Sub(h.usedAt) > maxAge || e.read-h.read > capacity {
			break
		}
		tokens = p.Tokens
	}
	return tokens
}

// Update forgets what a runner no longer holds by its present description: all if it
// was restarted, else the prompts of the models and adapters that it has dropped.
func (x *Index) Update(runner *drfleet.Runner) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.engines[runner.ID]
	switch {
	case !ok || e.started > runner.Started:
		return
	case e.started < runner.Started:
		x.forget(runner.ID)
		return
	}
	for _, element := range e.held {
		if h := element.Value.(*held); !runner.Holds(h.model, h.adapter) {
			x.remove(element)
		}
	}
}

// Forget forgets all of a runner that has gone.
func (x *Index) Forget(runner string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(runner)
}

// forget is Forget. The caller holds mu.
func (x *Index) forget(runner string) {
	e, ok := x.engines[runner]
	if !ok {
		return
	}
	for _, element := range e.held {
		x.remove(element)
	}
	delete(x.engines, runner)
}

// remove forgets one prefix of an engine; nil is none. The caller holds mu.
func (x *Index) remove(element *list.Element) {
	if element == nil {
		return
	}
	h := x.recent.Remove(element).(*held)
	delete(h.engine.held, h.key)
}

// Len returns the number of prefixes that engines are believed to hold.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.recent.Len()
}
