package drrouter

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drengine"
)

const (
	// maxPrefixBlocks bounds the map of one runner to about 2 MB.
	maxPrefixBlocks = 32768
	// maxPromptBlocks bounds the work per request.
	maxPromptBlocks = 256
	maxPrefixMaps   = 16384
)

// promptBlocks returns the hashes by which engines name the prompt's blocks.
func promptBlocks(prompt string) []uint64 {
	return drengine.PrefixBlocks(prompt[:min(len(prompt), maxPromptBlocks*drengine.PrefixBlock)])
}

type prefixKey struct {
	model string
	block uint64
}

type prefixMap struct {
	lastSeq uint64
	blocks  map[prefixKey]struct{}
}

// prefixes is an approximate view of the engines' prefix caches. It only
// influences scores, so wrong entries cost time but no correctness.
type prefixes struct {
	mu        sync.RWMutex
	byAddress map[string]*prefixMap
	maxBlocks int
}

func newPrefixes() *prefixes {
	return &prefixes{byAddress: make(map[string]*prefixMap), maxBlocks: maxPrefixBlocks}
}

// apply takes events of the engine at addr. A gap in the sequence means that
// evictions may be missing, so the map is dropped.
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

func (p *prefixes) drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byAddress, addr)
}

// cachedShare returns the part of the prompt, from 0 to 1, that the engine at addr
// has cached.
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
