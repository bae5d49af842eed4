package drrouter

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drengine"
)

const (
	// maxPrefixBlocks bounds the blocks recorded for one runner, which take
	// about 2 MB.
	maxPrefixBlocks = 32768
	// maxPromptBlocks bounds the blocks hashed per request; the rest of a
	// longer prompt is ignored.
	maxPromptBlocks = 256
	// maxPrefixMaps bounds the runners with recorded blocks. When it is
	// reached, all maps are dropped.
	maxPrefixMaps = 16384
)

// promptBlocks returns the hashes of the prompt's blocks. They are the ones
// that engines report in their cache events.
func promptBlocks(prompt string) []uint64 {
	return drengine.PrefixBlocks(prompt[:min(len(prompt), maxPromptBlocks*drengine.PrefixBlock)])
}

// prefixKey is a block of a model's prefix cache. Equal blocks of two models
// are cached apart.
type prefixKey struct {
	model string
	block uint64
}

// prefixMap holds the blocks that one engine has cached.
type prefixMap struct {
	lastSeq uint64 // sequence number of the last event applied; 0 before the first
	blocks  map[prefixKey]struct{}
}

// prefixes is an approximate copy of the prefix caches of all engines. It only
// influences the scores of runners: a wrong entry costs time, but no
// correctness.
type prefixes struct {
	mu        sync.RWMutex
	byAddress map[string]*prefixMap
	maxBlocks int // per engine
}

func newPrefixes() *prefixes {
	return &prefixes{byAddress: make(map[string]*prefixMap), maxBlocks: maxPrefixBlocks}
}

// apply applies cache events of the engine at addr and skips those applied
// before. After a gap in the sequence numbers, evictions may be missing, so all
// blocks of the engine are dropped first.
func (p *prefixes) apply(addr string, events []drengine.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byAddress[addr]
	if m == nil {
		if len(p.byAddress) >= maxPrefixMaps {
			clear(p.byAddress)
		}
		m = &prefixMap{blocks: make(map[prefixKey]struct{})}
		p.byAddress[addr] = m
	}
	for _, e := range events {
		if e.Seq <= m.lastSeq && m.lastSeq != 0 {
			continue
		}
		if e.Seq != m.lastSeq+1 {
			clear(m.blocks)
		}
		m.lastSeq = e.Seq
		for _, b := range e.Evicted {
			delete(m.blocks, prefixKey{e.Model, b})
		}
		for _, b := range e.Added {
			if len(m.blocks) >= p.maxBlocks {
				clear(m.blocks)
			}
			m.blocks[prefixKey{e.Model, b}] = struct{}{}
		}
	}
}

// drop forgets the blocks of the engine at addr, whose events are no longer
// followed.
func (p *prefixes) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAddress, addr)
}

// cachedShare returns the fraction of the prompt's blocks, from 0 to 1, that
// the engine at addr has cached. Only leading blocks count, since an engine can
// reuse nothing behind the first block that it lacks.
func (p *prefixes) cachedShare(addr, model string, blocks []uint64) float64 {
	if len(blocks) == 0 {
		return 0
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	m := p.byAddress[addr]
	if m == nil {
		return 0
	}
	n := 0
	for _, b := range blocks {
		if _, ok := m.blocks[prefixKey{model, b}]; !ok {
			break
		}
		n++
	}
	return float64(n) / float64(len(blocks))
}
