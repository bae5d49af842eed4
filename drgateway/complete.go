package drgateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drrouter"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// generation is a completion in progress.
type generation struct {
	*request
	body         *completionRequest
	tokens       drengine.TokenStream
	stopFilter   stopFilter
	usage        usage
	finishReason string
	replyBase    reply
	// cold says that no loaded replica was known at the arrival.
	cold bool
	// lastTokenAt is the time of the last token.
	lastTokenAt time.Time
}

// priorities in ascending urgency.
var priorities = []drconfig.Priority{drconfig.Batch, drconfig.Draft, drconfig.Interactive}

// priority returns the class that the caller asks for, at most ceiling.
func (r *request) priority(ceiling drconfig.Priority) (drconfig.Priority, error) {
	highest := slices.Index(priorities, ceiling)
	if highest < 0 {
		highest = len(priorities) - 1
	}
	requested := highest
	if v := r.http.Request.Header.Peek(headerPriority); len(v) > 0 {
		if requested = slices.Index(priorities, drconfig.Priority(v)); requested < 0 {
			return "", malformed("Priority must be interactive, draft or batch")
		}
	}
	return priorities[min(requested, highest)], nil
}

// complete serves both completions endpoints.
func (r *request) complete(chat bool) error {
	if err := r.authenticate(); err != nil {
		return err
	}
	body, err := decodeCompletion(r.http.PostBody(), chat)
	if err != nil {
		return err
	}
	if containsKey(body.prompt, r.key) {
		return malformed("the prompt contains the caller's key")
	}
	m, err := r.server.Directory.Model(r.identity.Account, body.Model)
	if err != nil {
		return wrapNotRun(err, drerror.UnknownModel)
	}
	r.model = body.Model
	p, err := r.priority(m.Priority)
	if err != nil {
		return err
	}
	if err := r.startContext(m.Timeout); err != nil {
		return err
	}
	maxTokens := maxOutputTokens(body.maxTokens, m)
	cold := !r.server.Loaded(m.Model, m.Adapter)
	if err := r.admit(m, p, body, maxTokens); err != nil {
		return err
	}
	g := &generation{request: r, body: body, cold: cold, stopFilter: stopFilter{sequences: body.stopSequences}}
	g.usage.Prompt = body.estimatePromptTokens()
	g.tokens, err = r.server.Generator.Generate(r.ctx, drrouter.Request{
		ID: r.uniqueID, RequestID: r.id, Account: r.identity.Account, Model: m.Model, Adapter: m.Adapter,
		Prompt: body.prompt, MaxTokens: maxTokens, Priority: enginePriorityWeights[p], Deadline: r.deadline,
	})
	if err != nil {
		return g.chargeFailure(err)
	}
	if cold {
		r.server.Meter.ColdStart(r.elapsed())
	}
	return g.respond()
}

// maxOutputTokens is the number of tokens that the request may generate.
func maxOutputTokens(requested int, m Model) int {
	n := requested
	if n == 0 {
		n = m.DefaultMaxTokens
	}
	if n <= 0 {
		n = fallbackMaxTokens
	}
	if m.MaxTokens > 0 {
		n = min(n, m.MaxTokens)
	}
	return n
}

// admit reserves the tokens that the request may use at most and waits for its
// turn.
func (r *request) admit(m Model, p drconfig.Priority, body *completionRequest, maxTokens int) error {
	cost := float64(body.estimatePromptTokens() + maxTokens)
	s := r.server
	reservation, err := s.Limiter.Reserve(r.ctx, r.identity.Account, cost, r.deadline)
	if err != nil {
		return r.admissionError(err, drerror.OverRate)
	}
	r.admission.reservation = reservation
	release, err := s.Queue.Enqueue(r.ctx, Item{
		RequestID: r.id, Account: r.identity.Account, Model: m.Model, Adapter: m.Adapter, Priority: p,
		Tokens: cost, Bytes: len(body.prompt), Deadline: r.deadline,
	})
	if err != nil {
		return r.admissionError(err, drerror.QueueFull)
	}
	r.admission.release = release
	if err := r.contextError(drerror.NotRun); err != nil {
		return err
	}
	s.Meter.Admitted(p, r.elapsed())
	r.recordEvent(drtimeline.Event{Name: drtimeline.RequestAdmitted, Took: r.elapsed()})
	return nil
}

// chargeFailure returns the error to show and charges the tokens used so far.
func (g *generation) chargeFailure(err error) error {
	verdict := drerror.Of(err)
	if g.usage.Completion > 0 {
		verdict = max(verdict, drerror.MayHaveRun)
	}
	if verdict != drerror.NotRun {
		g.admission.usedTokens = float64(g.usage.Prompt + g.usage.Completion)
	}
	if ended := g.contextError(verdict); ended != nil {
		return ended
	}
	if verdict != drerror.Of(err) {
		return drerror.Wrap(verdict, drerror.ReasonOf(err), err, "after output")
	}
	return err
}

// nextText returns the next text, which may be empty, and io.EOF after the last.
func (g *generation) nextText() (string, error) {
	if g.finishReason != "" {
		return "", io.EOF
	}
	token, err := g.tokens.Next()
	if errors.Is(err, io.EOF) {
		err = drerror.New(drerror.MayHaveRun, drerror.BackendFailed, "the stream ended early")
	}
	if err != nil {
		return "", g.chargeFailure(err)
	}
	if ended := g.contextError(drerror.MayHaveRun); ended != nil {
		return "", g.chargeFailure(ended)
	}
	if token.Done {
		if token.PromptTokens > 0 {
			g.usage.Prompt = token.PromptTokens
		}
		g.usage.Completion = max(token.CompletionTokens, g.usage.Completion)
		g.finishReason = token.FinishReason
		if g.finishReason == "" {
			g.finishReason = "stop"
		}
		g.chargeUsage()
		return g.stopFilter.push(token.Text) + g.stopFilter.flush(), nil
	}
	g.usage.Completion++
	g.measureToken()
	g.chargeUsage()
	text := g.stopFilter.push(token.Text)
	if g.stopFilter.stopped {
		g.finishReason = "stop"
	}
	return text, nil
}

// measureToken takes the time of a token.
func (g *generation) measureToken() {
	now := g.server.Clock.Now()
	switch {
	case !g.lastTokenAt.IsZero():
		g.server.Meter.NextToken(now.Sub(g.lastTokenAt))
	default:
		if !g.cold {
			g.server.Meter.FirstToken(now.Sub(g.arrivedAt))
		}
		g.recordEvent(drtimeline.Event{Name: drtimeline.FirstToken, Took: now.Sub(g.arrivedAt)})
	}
	g.lastTokenAt = now
}

func (g *generation) chargeUsage() {
	g.usage.Total = g.usage.Prompt + g.usage.Completion
	g.admission.usedTokens = float64(g.usage.Total)
}

// respond sends the generation. It waits for the first token before it
// commits to a status.
func (g *generation) respond() error {
	streamStarted := false
	defer func() {
		if !streamStarted {
			g.tokens.Close()
		}
	}()
	first, err := g.nextText()
	if err != nil {
		return err
	}
	g.replyBase = reply{ID: "cmpl-" + g.uniqueID, Object: "text_completion", Created: g.server.Clock.Now().Unix(), Model: g.body.Model}
	if g.body.chat {
		g.replyBase.ID, g.replyBase.Object = "chatcmpl-"+g.uniqueID, "chat.completion"
	}
	if !g.body.Stream {
		return g.respondJSON(first)
	}
	if g.body.chat {
		g.replyBase.Object = "chat.completion.chunk"
	}
	h := &g.http.Response.Header
	h.SetContentType("text/event-stream")
	h.Set(fasthttp.HeaderCacheControl, "no-store")
	streamStarted, g.streaming = true, true
	g.http.SetBodyStreamWriter(func(w *bufio.Writer) { g.writeStream(w, first) })
	return nil
}

// respondJSON answers with one JSON body.
func (g *generation) respondJSON(first string) error {
	var text strings.Builder
	text.WriteString(first)
	for {
		piece, err := g.nextText()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		text.WriteString(piece)
	}
	out := g.replyBase
	c := choice{FinishReason: &g.finishReason}
	if s := text.String(); g.body.chat {
		c.Message = &textMessage{Role: "assistant", Content: s}
	} else {
		c.Text = &s
	}
	out.Choices, out.Usage = []choice{c}, &g.usage
	g.http.Response.Header.SetContentType("application/json")
	g.http.Response.SetBody(out.json())
	g.recordServed(fasthttp.StatusOK)
	return nil
}

// writeStream writes the events. It runs in its own goroutine and ends the request.
func (g *generation) writeStream(w *bufio.Writer, text string) {
	defer g.end()
	defer g.tokens.Close()
	defer func() {
		if p := recover(); p != nil {
			g.recordDetail(drtimeline.RequestPanicked, fmt.Sprintf("error=%q", fmt.Sprint(p)))
			g.writeErrorEvent(w, drerror.New(drerror.MayHaveRun, drerror.Internal, "internal error"))
		}
	}()
	role := "assistant"
	for {
		if text != "" || role != "" {
			if g.writeChunk(w, g.newChunk(role, text, nil)) != nil {
				return
			}
			role = ""
		}
		var err error
		if text, err = g.nextText(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			g.writeErrorEvent(w, err)
			return
		}
	}
	if g.writeChunk(w, g.newChunk("", "", &g.finishReason)) != nil {
		return
	}
	if g.body.StreamOptions.IncludeUsage {
		last := g.replyBase
		last.Choices, last.Usage = []choice{}, &g.usage
		if g.writeChunk(w, last) != nil {
			return
		}
	}
	if writeEvent(w, "", []byte("[DONE]")) == nil {
		g.recordServed(fasthttp.StatusOK)
	}
}

func (g *generation) newChunk(role, text string, finishReason *string) reply {
	out := g.replyBase
	c := choice{FinishReason: finishReason}
	if g.body.chat {
		c.Delta = &textMessage{Role: role, Content: text}
	} else {
		c.Text = &text
	}
	out.Choices = []choice{c}
	return out
}

// writeChunk sends an event; a failure means that the caller is gone.
func (g *generation) writeChunk(w *bufio.Writer, e reply) error {
	err := writeEvent(w, "", e.json())
	if err != nil {
		g.cancel(errCallerGone)
		g.recordRefusal(newProblem(errCallerGone, g.id))
	}
	return err
}

// writeErrorEvent ends a stream that has begun with an error event.
func (g *generation) writeErrorEvent(w *bufio.Writer, err error) {
	p := newProblem(err, g.id)
	g.recordRefusal(p)
	_ = writeEvent(w, "error", p.json()) // the caller may be gone
}

// models lists what the client account may use.
func (r *request) models() error {
	if err := r.authenticate(); err != nil {
		return err
	}
	type entry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list", Data: []entry{}}
	for _, name := range r.server.Directory.Models(r.identity.Account) {
		list.Data = append(list.Data, entry{ID: name, Object: "model", OwnedBy: "dotterelridge"})
	}
	b, err := json.Marshal(list)
	if err != nil {
		return drerror.Wrap(drerror.NotRun, drerror.Internal, err, "encode the list of models")
	}
	r.http.Response.Header.SetContentType("application/json")
	r.http.Response.SetBody(b)
	r.recordServed(fasthttp.StatusOK)
	return nil
}
