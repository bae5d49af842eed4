package drstandin

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// generation is a generation that waits, runs or has finished. Several readers can
// read its tokens, each from an index of its own.
type generation struct {
	drengine.Generation
	firstIndex int // index of tokens[0]; greater than 0 if the request has a prefix
	ctx        context.Context
	cancel     context.CancelFunc
	admitted   chan struct{} // closed when the generation is admitted to the batch
	// removalTimer removes the generation after a time without readers.
	removalTimer *time.Timer
	// unscheduled says that the generation has left the batch or the queue.
	// Engine.mu guards it.
	unscheduled bool

	mu       sync.Mutex
	tokens   []drengine.Token
	appended chan struct{} // closed and replaced when a token is added
	readers  int
}

// appendToken adds a token and wakes the readers that wait for it.
func (g *generation) appendToken(t drengine.Token) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, t)
	close(g.appended)
	g.appended = make(chan struct{})
}

// token returns the token at index. If it does not exist yet, ok is false and the
// channel is closed when the next token is added.
func (g *generation) token(index int) (t drengine.Token, ok bool, appended <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := index - g.firstIndex; i < len(g.tokens) {
		return g.tokens[i], true, nil
	}
	return t, false, g.appended
}

// addReader registers a reader and stops the removal timer.
func (g *generation) addReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	g.removalTimer.Stop()
}

// removeReader unregisters a reader. The last one starts the removal timer.
func (g *generation) removeReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.removalTimer.Reset(unreadGenerationTTL)
	}
}
