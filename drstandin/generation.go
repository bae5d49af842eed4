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
	firstIndex   int // index of lines[0]
	ctx          context.Context
	cancel       context.CancelFunc
	admitted     chan struct{} // closed when the generation enters the batch
	removalTimer *time.Timer
	// unscheduled is set when the generation left the batch or the queue; the
	// engine's lock guards it.
	unscheduled bool

	mu       sync.Mutex
	tokens   []drengine.Token
	appended chan struct{} // closed at the next line
	readers  int
}

func (g *generation) appendToken(t drengine.Token) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, t)
	close(g.appended)
	g.appended = make(chan struct{})
}

// token returns the line at index, or a channel that is closed at the next one.
func (g *generation) token(index int) (t drengine.Token, ok bool, appended <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := index - g.firstIndex; i < len(g.tokens) {
		return g.tokens[i], true, nil
	}
	return t, false, g.appended
}

// addReader counts a reader and keeps the generation.
func (g *generation) addReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	g.removalTimer.Stop()
}

// removeReader starts the time after which a generation without readers is dropped.
func (g *generation) removeReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.removalTimer.Reset(unreadGenerationTTL)
	}
}
