package drstandin

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// prefixCache holds prompt prefix blocks of all models, least recently used
// first, and the events about them.
type prefixCache struct {
	config EngineConfig
	held   map[prefixBlock]struct{}
	order  []prefixBlock
	seq    uint64
	events []timedEvent
}

type prefixBlock struct {
	model string
	hash  uint64
}

type timedEvent struct {
	due time.Time
	drengine.CacheEvent
}

func newPrefixCache(c EngineConfig) *prefixCache {
	return &prefixCache{config: c, held: make(map[prefixBlock]struct{})}
}

// use adds the blocks of a prompt and returns how many leading ones were held.
func (p *prefixCache) use(model, prompt string) int {
	hits, leading := 0, true
	var added []uint64
	for _, h := range drengine.PrefixBlocks(prompt) {
		b := prefixBlock{model, h}
		if _, ok := p.held[b]; ok {
			if leading {
				hits++
			}
			p.order = slices.DeleteFunc(p.order, func(o prefixBlock) bool { return o == b })
		} else {
			leading = false
			p.held[b] = struct{}{}
			added = append(added, h)
		}
		p.order = append(p.order, b)
	}
	if len(added) > 0 {
		p.note(drengine.CacheEvent{Model: model, Added: added})
	}
	for len(p.order) > p.config.CacheBlocks {
		b := p.order[0]
		p.order = p.order[1:]
		delete(p.held, b)
		p.note(drengine.CacheEvent{Model: b.model, Evicted: []uint64{b.hash}})
	}
	return hits
}

func (p *prefixCache) note(e drengine.CacheEvent) {
	p.seq++
	e.Seq = p.seq
	if gap := p.config.EventGap; gap > 0 && p.seq%uint64(gap) == 0 {
		return
	}
	p.events = append(p.events, timedEvent{time.Now().Add(p.config.EventLag), e})
	if len(p.events) > keptEvents {
		p.events = p.events[1:]
	}
}

// after returns the visible events above seq.
func (p *prefixCache) after(seq uint64) []drengine.CacheEvent {
	now := time.Now()
	es := []drengine.CacheEvent{}
	for _, e := range p.events {
		if e.Seq > seq && !e.due.After(now) {
			es = append(es, e.CacheEvent)
		}
	}
	return es
}

// eventPoll is how often a waiting request looks for events that became due.
const eventPoll = 20 * time.Millisecond

func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	wait, err := waitArg(ctx)
	if err != nil {
		answerError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	after := numberArg(ctx, "after", 0)
	for end := time.Now().Add(wait); ; {
		e.mu.Lock()
		es := e.prefixes.after(after)
		e.mu.Unlock()
		if len(es) > 0 || !time.Now().Before(end) {
			answerJSON(ctx, fasthttp.StatusOK, map[string]any{"events": es})
			return
		}
		if !e.pause(eventPoll) || e.isDown() {
			drop(ctx)
			return
		}
	}
}
