package drstandin

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// generation is one running or finished answer. Readers follow it by index.
type generation struct {
	drengine.Generation
	first  int // index of lines[0]
	life   context.Context
	stop   context.CancelFunc
	admit  chan struct{} // closed when the generation enters the batch
	forget *time.Timer
	// retired is set when the generation left the batch or the queue; the
	// engine's lock guards it.
	retired bool

	mu      sync.Mutex
	lines   []drengine.Token
	grown   chan struct{} // closed at the next line
	readers int
}

func (g *generation) add(t drengine.Token) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lines = append(g.lines, t)
	close(g.grown)
	g.grown = make(chan struct{})
}

// line returns the line at index, or a channel that is closed at the next one.
func (g *generation) line(index int) (t drengine.Token, ok bool, grown <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := index - g.first; i < len(g.lines) {
		return g.lines[i], true, nil
	}
	return t, false, g.grown
}

// enter counts a reader and keeps the generation.
func (g *generation) enter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	g.forget.Stop()
}

// leave starts the time after which a generation without readers is dropped.
func (g *generation) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.forget.Reset(keepGeneration)
	}
}
