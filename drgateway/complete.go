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

// generation is a completion request whose generation runs on an engine.
type generation struct {
	*request
	body         *completionRequest
	tokens       drengine.TokenStream
	stopFilter   stopFilter
	usage        usage
	finishReason string
	// replyBase holds the fields that all chunks of the response share.
	replyBase reply
	// cold is true if no loaded replica was known when the request arrived.
	cold bool
	// lastTokenAt is zero before the first token.
	lastTokenAt time.Time
}

// priorities lists the priority classes in ascending urgency.
var priorities = []drconfig.Priority{drconfig.Batch, drconfig.Draft, drconfig.Interactive}

// priority returns the class that the Priority header asks for, or ceiling if
// there is no header or it asks for a more urgent class than ceiling.
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

// complete serves /v1/chat/completions if chat is true, else /v1/completions.
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
	model, err := r.server.Directory.Model(r.identity.Account, body.Model)
	if err != nil {
		return wrapNotRun(err, drerror.UnknownModel)
	}
	r.model = body.Model
	priority, err := r.priority(model.Priority)
	if err != nil {
		return err
	}
	if err := r.startContext(model.Timeout); err != nil {
		return err
	}
	maxTokens := maxOutputTokens(body.maxTokens, model)
	cold := !r.server.Loaded(model.Model, model.Adapter)
	if err := r.admit(model, priority, body, maxTokens); err != nil {
		return err
	}
	g := &generation{request: r, body: body, cold: cold, stopFilter: stopFilter{sequences: body.stopSequences}}
	g.usage.Prompt = body.estimatePromptTokens()
	g.tokens, err = r.server.Generator.Generate(r.ctx, drrouter.Request{
		ID: r.uniqueID, RequestID: r.id, Account: r.identity.Account, Model: model.Model, Adapter: model.Adapter,
		Prompt: body.prompt, MaxTokens: maxTokens, Priority: enginePriorityWeights[priority], Deadline: r.deadline,
	})
	if err != nil {
		return g.chargeFailure(err)
	}
	if cold {
		r.server.Meter.ColdStart(r.elapsed())
	}
	return g.respond()
}

// maxOutputTokens returns how many tokens a request may generate at most.
// Requested is 0 if the request states no limit.
func maxOutputTokens(requested int, model Model) int {
	n := requested
	if n == 0 {
		n = model.DefaultMaxTokens
	}
	if n <= 0 {
		n = fallbackMaxTokens
	}
	if model.MaxTokens > 0 {
		n = min(n, model.MaxTokens)
	}
	return n
}

// admit reserves the tokens of the prompt and of the longest possible output with
// the limiter, then waits in the model's queue.
func (r *request) admit(model Model, priority drconfig.Priority, body *completionRequest, maxTokens int) error {
	cost := float64(body.estimatePromptTokens() + maxTokens)
	s := r.server
	reservation, err := s.Limiter.Reserve(r.ctx, r.identity.Account, cost, r.deadline)
	if err != nil {
		return r.admissionError(err, drerror.OverRate)
	}
	r.admission.reservation = reservation
	release, err := s.Queue.Enqueue(r.ctx, Item{
		RequestID: r.id, Account: r.identity.Account, Model: model.Model, Adapter: model.Adapter, Priority: priority,
		Tokens: cost, Bytes: len(body.prompt), Deadline: r.deadline,
	})
	if err != nil {
		return r.admissionError(err, drerror.QueueFull)
	}
	r.admission.release = release
	if err := r.contextError(drerror.NotRun); err != nil {
		return err
	}
	s.Meter.Admitted(priority, r.elapsed())
	r.recordEvent(drtimeline.Event{Name: drtimeline.RequestAdmitted, Took: r.elapsed()})
	return nil
}

// chargeFailure charges the tokens that were used before err, unless nothing ran,
// and returns the error to report to the caller.
func (g *generation) chargeFailure(err error) error {
	verdict := drerror.VerdictOf(err)
	if g.usage.Completion > 0 {
		verdict = max(verdict, drerror.MayHaveRun)
	}
	if verdict != drerror.NotRun {
		g.admission.usedTokens = float64(g.usage.Prompt + g.usage.Completion)
	}
	if ended := g.contextError(verdict); ended != nil {
		return ended
	}
	if verdict != drerror.VerdictOf(err) {
		return drerror.Wrap(verdict, drerror.ReasonOf(err), err, "the generation failed after its first token")
	}
	return err
}

// nextText returns the next piece of output text, and io.EOF after the last one. A
// piece is empty while the stop filter holds back text.
func (g *generation) nextText() (string, error) {
	if g.finishReason != "" {
		return "", io.EOF
	}
	token, err := g.tokens.Next()
	if errors.Is(err, io.EOF) {
		err = drerror.New(drerror.MayHaveRun, drerror.BackendFailed, "the token stream ended before the final token")
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

// measureToken measures the time to the first token or between two tokens. The time
// to the first token of a cold request includes the load of the model, so it goes
// into the timeline only, not into the metric for loaded models.
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

// chargeUsage sets the tokens to be charged to the usage so far.
func (g *generation) chargeUsage() {
	g.usage.Total = g.usage.Prompt + g.usage.Completion
	g.admission.usedTokens = float64(g.usage.Total)
}

// respond sends the generated text, as a stream if the caller asked for one. It
// waits for the first token before it sends a status, so that a failure before
// that token still gets an HTTP error.
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

// respondJSON collects the whole output, which starts with first, and sends it as
// one JSON body.
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

// writeStream sends the output, which starts with text, as server-sent events. It
// runs in a goroutine of the HTTP library, closes the token stream and ends the
// request.
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

// newChunk returns one event of a stream. Role is set in the first chunk of a chat
// only, finishReason is nil in all chunks but the last.
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

// writeChunk sends chunk as an event. A write error means that the caller has
// disconnected, so it cancels the request.
func (g *generation) writeChunk(w *bufio.Writer, chunk reply) error {
	err := writeEvent(w, "", chunk.json())
	if err != nil {
		g.cancel(errCallerGone)
		g.recordRefusal(newProblem(errCallerGone, g.id))
	}
	return err
}

// writeErrorEvent reports err as the last event of a stream whose status 200 has
// already been sent.
func (g *generation) writeErrorEvent(w *bufio.Writer, err error) {
	p := newProblem(err, g.id)
	g.recordRefusal(p)
	_ = writeEvent(w, "error", p.json()) // fails if the caller has disconnected
}

// models responds with the models and adapters that the client account may use.
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
		return drerror.Wrap(drerror.NotRun, drerror.Internal, err, "encode the list of models as JSON")
	}
	r.http.Response.Header.SetContentType("application/json")
	r.http.Response.SetBody(b)
	r.recordServed(fasthttp.StatusOK)
	return nil
}
