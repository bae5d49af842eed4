package drstandin

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// dropDelay gives fasthttp time to send the flushed lines before the connection
// is closed.
const dropDelay = 5 * time.Millisecond

func (e *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	var request drengine.Generation
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil || request.ID == "" {
		respondError(ctx, fasthttp.StatusBadRequest, "the generation is not valid JSON or has no id")
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.crashed:
		dropConn(ctx)
		return
	case e.Faults().Refuse:
		respondError(ctx, fasthttp.StatusServiceUnavailable, "generation rejected by the refuse fault")
		return
	case e.generations[request.ID] != nil:
		respondError(ctx, fasthttp.StatusConflict, "generation %q already exists", request.ID)
		return
	case !e.isLoaded(request.Model, request.Adapter):
		respondError(ctx, fasthttp.StatusNotFound, "model %q with adapter %q is not loaded", request.Model, request.Adapter)
		return
	}
	g := &generation{Generation: request, firstIndex: len(request.Prefix), admitted: make(chan struct{}), appended: make(chan struct{})}
	g.ctx, g.cancel = context.WithCancel(e.instanceCtx)
	g.removalTimer = time.AfterFunc(unreadGenerationTTL, func() { e.removeGeneration(g) })
	e.generations[request.ID] = g
	e.counts.Generations++
	e.updateUsage()
	e.usage.activeGenerations[request.Model]++
	e.counts.IDs[request.ID]++
	e.enqueue(g)
	e.schedulePublish()
	go e.run(g)
	e.stream(ctx, g, g.firstIndex)
}

// enqueue adds a generation to the queue, which is ordered by priority, then by
// arrival, and admits it if the batch has room. e.mu must be held.
func (e *Engine) enqueue(g *generation) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Priority < g.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, g)
	e.admitNext()
}

// admitNext moves generations from the queue to the batch while it has room. e.mu
// must be held.
func (e *Engine) admitNext() {
	for e.running < e.config.Capacity && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.counts.MostRunning = max(e.counts.MostRunning, e.running)
		close(g.admitted)
	}
}

// run waits for a place in the batch, then generates the tokens, whether or not a
// caller reads them.
func (e *Engine) run(g *generation) {
	select {
	case <-g.admitted:
		e.generateTokens(g)
	case <-g.ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.ID] != g {
		return // removed, or of an instance that has crashed
	}
	e.unschedule(g)
}

// unschedule removes a generation from the batch or the queue. Further calls have
// no effect. e.mu must be held.
func (e *Engine) unschedule(g *generation) {
	if g.unscheduled {
		return
	}
	g.unscheduled = true
	e.updateUsage()
	e.usage.activeGenerations[g.Model]--
	select {
	case <-g.admitted:
		e.running--
	default:
		e.waiting = slices.DeleteFunc(e.waiting, func(waiting *generation) bool { return waiting == g })
	}
	e.admitNext()
	e.schedulePublish()
}

// generateTokens adds the tokens of a generation at the configured pace. It stops
// early if the generation is canceled or its replica is unloaded. A prompt with the
// poison text crashes the engine.
func (e *Engine) generateTokens(g *generation) {
	promptTokens := PromptTokens(g.Prompt)
	e.mu.Lock()
	hitBlocks := 0
	if g.ctx.Err() == nil {
		hitBlocks = e.prefixes.addPrompt(g.Model, g.Prompt)
	}
	e.mu.Unlock()
	cachedTokens := min(hitBlocks*drengine.PrefixBlock/promptBytesPerToken, promptTokens)
	promptTime := time.Duration(promptTokens-cachedTokens)*e.config.PromptTime + time.Duration(cachedTokens)*e.config.PromptTime/cacheHitSpeedup
	if !sleep(g.ctx, e.scaleDuration(promptTime)) {
		return
	}
	if e.config.Poison != "" && strings.Contains(g.Prompt, e.config.Poison) {
		e.Crash()
		return
	}
	// max-tokens bounds the whole output, including the prefix that an earlier
	// generation delivered.
	total, reason := g.MaxTokens, "length"
	if n := e.config.AnswerTokens; n > 0 && n <= total {
		total, reason = n, "stop"
	}
	for i := g.firstIndex; i < total; i++ {
		if !sleep(g.ctx, e.scaleDuration(e.config.TokenInterval)) {
			return
		}
		e.mu.Lock()
		ok := e.isLoaded(g.Model, g.Adapter) && g.ctx.Err() == nil
		if ok {
			e.counts.Tokens++
		}
		e.mu.Unlock()
		if !ok {
			g.cancel()
			return
		}
		g.appendToken(drengine.Token{Index: i, Text: TokenText(g.Model, g.Adapter, g.Prompt, i)})
	}
	g.appendToken(drengine.Token{
		Index: max(total, g.firstIndex), Done: true, FinishReason: reason,
		PromptTokens: promptTokens, CompletionTokens: max(total, g.firstIndex),
	})
}

// removeGeneration cancels a generation and forgets it. Readers that wait for its
// tokens lose their connections.
func (e *Engine) removeGeneration(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.cancel()
	if e.generations[g.ID] == g {
		e.unschedule(g)
		delete(e.generations, g.ID)
	}
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	g := e.generations[id]
	e.mu.Unlock()
	if g == nil {
		respondError(ctx, fasthttp.StatusNotFound, "generation %q does not exist", id)
		return
	}
	e.removeGeneration(g)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) handleResume(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	from := int(uintArg(ctx, "from", 0))
	if g == nil || from < g.firstIndex {
		respondError(ctx, fasthttp.StatusNotFound, "generation %q does not exist or has no token %d", id, from)
		return
	}
	e.stream(ctx, g, from)
}

// stream responds with the tokens of a generation from an index on, one JSON
// object a line.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, g *generation, from int) {
	conn := ctx.Conn()
	g.addReader()
	ctx.SetContentType("application/x-ndjson")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.removeReader()
		e.writeTokens(conn, w, g, from)
	})
}

// writeTokens writes tokens until the last one, until writing fails, or until the
// generation is canceled. It closes conn to make the stream end early.
func (e *Engine) writeTokens(conn net.Conn, w *bufio.Writer, g *generation, from int) {
	for i := from; ; i++ {
		token, ok, appended := g.token(i)
		for !ok {
			select {
			case <-appended:
			case <-g.ctx.Done():
				conn.Close()
				return
			}
			token, ok, appended = g.token(i)
		}
		line, err := json.Marshal(token)
		if err != nil {
			conn.Close()
			return
		}
		_, _ = w.Write(append(line, '\n'))
		if w.Flush() != nil || token.Done {
			return
		}
		if n := e.Faults().DropAfter; n > 0 && i-from+1 >= n {
			e.pause(dropDelay)
			conn.Close()
			return
		}
	}
}
