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

// dropDelay lets fasthttp write the flushed lines before the connection drops.
const dropDelay = 5 * time.Millisecond

func (e *Engine) generate(ctx *fasthttp.RequestCtx) {
	var r drengine.Generation
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil || r.ID == "" {
		answerError(ctx, fasthttp.StatusBadRequest, "malformed generation")
		return
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.crashed:
		drop(ctx)
		return
	case e.Faults().Refuse:
		answerError(ctx, fasthttp.StatusServiceUnavailable, "refusal switched on")
		return
	case e.generations[r.ID] != nil:
		answerError(ctx, fasthttp.StatusConflict, "generation %q exists", r.ID)
		return
	case !e.serves(r.Model, r.Adapter):
		answerError(ctx, fasthttp.StatusNotFound, "model %q with adapter %q is not loaded", r.Model, r.Adapter)
		return
	}
	g := &generation{Generation: r, first: len(r.Prefix), admit: make(chan struct{}), grown: make(chan struct{})}
	g.life, g.stop = context.WithCancel(e.life)
	g.forget = time.AfterFunc(keepGeneration, func() { e.end(g) })
	e.generations[r.ID] = g
	e.counts.Generations++
	e.meter()
	e.usage.active[r.Model]++
	e.counts.IDs[r.ID]++
	e.enqueue(g)
	e.touch()
	go e.run(g)
	e.stream(ctx, g, g.first)
}

// enqueue puts a generation into the batch or the queue of waiting ones, which
// is ordered by priority, then by arrival.
func (e *Engine) enqueue(g *generation) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Priority < g.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, g)
	e.admitNext()
}

func (e *Engine) admitNext() {
	for e.running < e.config.Capacity && len(e.waiting) > 0 {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		e.counts.MostRunning = max(e.counts.MostRunning, e.running)
		close(g.admit)
	}
}

// run produces the tokens of a generation, with or without a reader.
func (e *Engine) run(g *generation) {
	select {
	case <-g.admit:
		e.produce(g)
	case <-g.life.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[g.ID] != g {
		return // an earlier instance, or already removed
	}
	e.retire(g)
}

// retire takes a generation out of the batch or the queue.
func (e *Engine) retire(g *generation) {
	if g.retired {
		return
	}
	g.retired = true
	e.meter()
	e.usage.active[g.Model]--
	select {
	case <-g.admit:
		e.running--
	default:
		e.waiting = slices.DeleteFunc(e.waiting, func(w *generation) bool { return w == g })
	}
	e.admitNext()
	e.touch()
}

func (e *Engine) produce(g *generation) {
	prompt := PromptTokens(g.Prompt)
	e.mu.Lock()
	hits := 0
	if g.life.Err() == nil {
		hits = e.prefixes.use(g.Model, g.Prompt)
	}
	e.mu.Unlock()
	cached := min(hits*drengine.PrefixBlock/promptBytesPerToken, prompt)
	work := time.Duration(prompt-cached)*e.config.PromptTime + time.Duration(cached)*e.config.PromptTime/hitSpeed
	if !sleep(g.life, e.slow(work)) {
		return
	}
	if e.config.Poison != "" && strings.Contains(g.Prompt, e.config.Poison) {
		e.Crash()
		return
	}
	// max-tokens bounds the whole answer, the prefix included.
	total, reason := g.MaxTokens, "length"
	if n := e.config.AnswerTokens; n > 0 && n <= total {
		total, reason = n, "stop"
	}
	for i := g.first; i < total; i++ {
		if !sleep(g.life, e.slow(e.config.TokenInterval)) {
			return
		}
		e.mu.Lock()
		ok := e.serves(g.Model, g.Adapter) && g.life.Err() == nil
		if ok {
			e.counts.Tokens++
		}
		e.mu.Unlock()
		if !ok {
			g.stop()
			return
		}
		g.add(drengine.Token{Index: i, Text: TokenText(g.Model, g.Adapter, g.Prompt, i)})
	}
	g.add(drengine.Token{
		Index: max(total, g.first), Done: true, FinishReason: reason,
		PromptTokens: prompt, CompletionTokens: max(total, g.first),
	})
}

// end drops a generation that nobody reads.
func (e *Engine) end(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.stop()
	if e.generations[g.ID] == g {
		e.retire(g)
		delete(e.generations, g.ID)
	}
}

func (e *Engine) cancel(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	g := e.generations[id]
	e.mu.Unlock()
	if g == nil {
		answerError(ctx, fasthttp.StatusNotFound, "no generation %q", id)
		return
	}
	e.end(g)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (e *Engine) resume(ctx *fasthttp.RequestCtx, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	from := int(numberArg(ctx, "from", 0))
	if g == nil || from < g.first {
		answerError(ctx, fasthttp.StatusNotFound, "no generation %q from token %d", id, from)
		return
	}
	e.stream(ctx, g, from)
}

// stream sends a generation's lines from an index to one reader.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, g *generation, from int) {
	conn := ctx.Conn()
	g.enter()
	ctx.SetContentType("application/x-ndjson")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer g.leave()
		e.write(conn, w, g, from)
	})
}

func (e *Engine) write(conn net.Conn, w *bufio.Writer, g *generation, from int) {
	for i := from; ; i++ {
		t, ok, grown := g.line(i)
		for !ok {
			select {
			case <-grown:
			case <-g.life.Done():
				conn.Close()
				return
			}
			t, ok, grown = g.line(i)
		}
		b, err := json.Marshal(t)
		if err != nil {
			conn.Close()
			return
		}
		_, _ = w.Write(append(b, '\n'))
		if w.Flush() != nil || t.Done {
			return
		}
		if n := e.Faults().DropAfter; n > 0 && i-from+1 >= n {
			e.pause(dropDelay)
			conn.Close()
			return
		}
	}
}
