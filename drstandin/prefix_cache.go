package drstandin

import (
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// prefixCache is an LRU cache of the prompt prefix blocks of all models. It records
// an event for each addition and eviction. Engine.mu guards it.
type prefixCache struct {
	config           EngineConfig
	blocks           map[prefixBlock]struct{}
	leastRecentFirst []prefixBlock
	lastSeq          uint64
	events           []delayedEvent
}

type prefixBlock struct {
	model string
	hash  uint64
}

// delayedEvent is a cache event that can be read from visibleAt on.
type delayedEvent struct {
	visibleAt time.Time
	drengine.CacheEvent
}

func newPrefixCache(c EngineConfig) *prefixCache {
	return &prefixCache{config: c, blocks: make(map[prefixBlock]struct{})}
}

// addPrompt adds the blocks of a prompt, and returns how many blocks at its start
// were already cached.
func (p *prefixCache) addPrompt(model, prompt string) int {
	hits, onlyHits := 0, true
	var added []uint64
	for _, hash := range drengine.PrefixBlocks(prompt) {
		block := prefixBlock{model, hash}
		if _, ok := p.blocks[block]; ok {
			if onlyHits {
				hits++
			}
			p.leastRecentFirst = slices.DeleteFunc(p.leastRecentFirst, func(other prefixBlock) bool { return other == block })
		} else {
			onlyHits = false
			p.blocks[block] = struct{}{}
			added = append(added, hash)
		}
		p.leastRecentFirst = append(p.leastRecentFirst, block)
	}
	if len(added) > 0 {
		p.recordEvent(drengine.CacheEvent{Model: model, Added: added})
	}
	for len(p.leastRecentFirst) > p.config.CacheBlocks {
		block := p.leastRecentFirst[0]
		p.leastRecentFirst = p.leastRecentFirst[1:]
		delete(p.blocks, block)
		p.recordEvent(drengine.CacheEvent{Model: block.model, Evicted: []uint64{block.hash}})
	}
	return hits
}

// recordEvent numbers an event and keeps it, unless EventGap makes it get lost.
func (p *prefixCache) recordEvent(event drengine.CacheEvent) {
	p.lastSeq++
	event.Seq = p.lastSeq
	if gap := p.config.EventGap; gap > 0 && p.lastSeq%uint64(gap) == 0 {
		return
	}
	p.events = append(p.events, delayedEvent{time.Now().Add(p.config.EventLag), event})
	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
	}
}

// eventsAfter returns the visible events with a sequence number above seq.
func (p *prefixCache) eventsAfter(seq uint64) []drengine.CacheEvent {
	now := time.Now()
	events := []drengine.CacheEvent{}
	for _, e := range p.events {
		if e.Seq > seq && !e.visibleAt.After(now) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}

// eventPollInterval is how often a waiting request checks for newly visible events.
const eventPollInterval = 20 * time.Millisecond

func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	wait, err := pollWait(ctx)
	if err != nil {
		respondError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	afterSeq := uintArg(ctx, "after", 0)
	for deadline := time.Now().Add(wait); ; {
		e.mu.Lock()
		events := e.prefixes.eventsAfter(afterSeq)
		e.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(deadline) {
			respondJSON(ctx, fasthttp.StatusOK, map[string]any{"events": events})
			return
		}
		if !e.pause(eventPollInterval) || e.isCrashed() {
			dropConn(ctx)
			return
		}
	}
}
