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
	body   *completion
	tokens drengine.TokenStream
	stop   stopper
	usage  usage
	finish string
	head   reply
	// cold says that no loaded replica was known at the arrival.
	cold bool
	// last is the time of the last token.
	last time.Time
}

// priorities in ascending urgency.
var priorities = []drconfig.Priority{drconfig.Batch, drconfig.Draft, drconfig.Interactive}

// priority returns the class that the caller asks for, at most ceiling.
func (r *request) priority(ceiling drconfig.Priority) (drconfig.Priority, error) {
	top := slices.Index(priorities, ceiling)
	if top < 0 {
		top = len(priorities) - 1
	}
	want := top
	if v := r.http.Request.Header.Peek(headerPriority); len(v) > 0 {
		if want = slices.Index(priorities, drconfig.Priority(v)); want < 0 {
			return "", malformed("Priority must be interactive, draft or batch")
		}
	}
	return priorities[min(want, top)], nil
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
	if holdsKey(body.prompt, r.key) {
		return malformed("the prompt contains the caller's key")
	}
	m, err := r.server.Directory.Model(r.identity.Account, body.Model)
	if err != nil {
		return notRun(err, drerror.UnknownModel)
	}
	r.model = body.Model
	p, err := r.priority(m.Priority)
	if err != nil {
		return err
	}
	if err := r.begin(m.Timeout); err != nil {
		return err
	}
	bound := outputBound(body.maxTokens, m)
	cold := !r.server.Loaded(m.Model, m.Adapter)
	if err := r.admit(m, p, body, bound); err != nil {
		return err
	}
	g := &generation{request: r, body: body, cold: cold, stop: stopper{stops: body.stops}}
	g.usage.Prompt = body.promptTokens()
	g.tokens, err = r.server.Generator.Generate(r.ctx, drrouter.Request{
		ID: r.unique, RequestID: r.id, Account: r.identity.Account, Model: m.Model, Adapter: m.Adapter,
		Prompt: body.prompt, MaxTokens: bound, Priority: engineUrgency[p], Deadline: r.deadline,
	})
	if err != nil {
		return g.failed(err)
	}
	if cold {
		r.server.Meter.ColdStart(r.age())
	}
	return g.respond()
}

// outputBound is the number of tokens that the request may generate.
func outputBound(asked int, m Model) int {
	n := asked
	if n == 0 {
		n = m.DefaultMaxTokens
	}
	if n <= 0 {
		n = unstatedTokens
	}
	if m.MaxTokens > 0 {
		n = min(n, m.MaxTokens)
	}
	return n
}

// admit reserves the tokens that the request may use at most and waits for its
// turn.
func (r *request) admit(m Model, p drconfig.Priority, body *completion, bound int) error {
	cost := float64(body.promptTokens() + bound)
	s := r.server
	res, err := s.Limiter.Reserve(r.ctx, r.identity.Account, cost, r.deadline)
	if err != nil {
		return r.admission(err, drerror.OverRate)
	}
	r.bill.reservation = res
	release, err := s.Queue.Enqueue(r.ctx, Item{
		RequestID: r.id, Account: r.identity.Account, Model: m.Model, Adapter: m.Adapter, Priority: p,
		Tokens: cost, Bytes: len(body.prompt), Deadline: r.deadline,
	})
	if err != nil {
		return r.admission(err, drerror.QueueFull)
	}
	r.bill.release = release
	if err := r.ended(drerror.NotRun); err != nil {
		return err
	}
	s.Meter.Admitted(p, r.age())
	r.note(drtimeline.Event{Name: drtimeline.RequestAdmitted, Took: r.age()})
	return nil
}

// failed returns the error to show and charges the tokens used so far.
func (g *generation) failed(err error) error {
	v := drerror.Of(err)
	if g.usage.Completion > 0 {
		v = max(v, drerror.MayHaveRun)
	}
	if v != drerror.NotRun {
		g.bill.used = float64(g.usage.Prompt + g.usage.Completion)
	}
	if ended := g.ended(v); ended != nil {
		return ended
	}
	if v != drerror.Of(err) {
		return drerror.Wrap(v, drerror.ReasonOf(err), err, "after output")
	}
	return err
}

// next returns the next text, which may be empty, and io.EOF after the last.
func (g *generation) next() (string, error) {
	if g.finish != "" {
		return "", io.EOF
	}
	t, err := g.tokens.Next()
	if errors.Is(err, io.EOF) {
		err = drerror.New(drerror.MayHaveRun, drerror.BackendFailed, "the stream ended early")
	}
	if err != nil {
		return "", g.failed(err)
	}
	if ended := g.ended(drerror.MayHaveRun); ended != nil {
		return "", g.failed(ended)
	}
	if t.Done {
		if t.PromptTokens > 0 {
			g.usage.Prompt = t.PromptTokens
		}
		g.usage.Completion = max(t.CompletionTokens, g.usage.Completion)
		g.finish = t.FinishReason
		if g.finish == "" {
			g.finish = "stop"
		}
		g.charge()
		return g.stop.push(t.Text) + g.stop.flush(), nil
	}
	g.usage.Completion++
	g.measure()
	g.charge()
	text := g.stop.push(t.Text)
	if g.stop.stopped {
		g.finish = "stop"
	}
	return text, nil
}

// measure takes the time of a token.
func (g *generation) measure() {
	now := g.server.Clock.Now()
	switch {
	case !g.last.IsZero():
		g.server.Meter.NextToken(now.Sub(g.last))
	default:
		if !g.cold {
			g.server.Meter.FirstToken(now.Sub(g.arrived))
		}
		g.note(drtimeline.Event{Name: drtimeline.FirstToken, Took: now.Sub(g.arrived)})
	}
	g.last = now
}

func (g *generation) charge() {
	g.usage.Total = g.usage.Prompt + g.usage.Completion
	g.bill.used = float64(g.usage.Total)
}

// respond sends the generation. It waits for the first token before it
// commits to a status.
func (g *generation) respond() error {
	handed := false
	defer func() {
		if !handed {
			g.tokens.Close()
		}
	}()
	first, err := g.next()
	if err != nil {
		return err
	}
	g.head = reply{ID: "cmpl-" + g.unique, Object: "text_completion", Created: g.server.Clock.Now().Unix(), Model: g.body.Model}
	if g.body.chat {
		g.head.ID, g.head.Object = "chatcmpl-"+g.unique, "chat.completion"
	}
	if !g.body.Stream {
		return g.whole(first)
	}
	if g.body.chat {
		g.head.Object = "chat.completion.chunk"
	}
	h := &g.http.Response.Header
	h.SetContentType("text/event-stream")
	h.Set(fasthttp.HeaderCacheControl, "no-store")
	handed, g.streaming = true, true
	g.http.SetBodyStreamWriter(func(w *bufio.Writer) { g.stream(w, first) })
	return nil
}

// whole answers with one JSON body.
func (g *generation) whole(first string) error {
	var text strings.Builder
	text.WriteString(first)
	for {
		t, err := g.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		text.WriteString(t)
	}
	out := g.head
	c := choice{FinishReason: &g.finish}
	if s := text.String(); g.body.chat {
		c.Message = &textMessage{Role: "assistant", Content: s}
	} else {
		c.Text = &s
	}
	out.Choices, out.Usage = []choice{c}, &g.usage
	g.http.Response.Header.SetContentType("application/json")
	g.http.Response.SetBody(out.json())
	g.served(fasthttp.StatusOK)
	return nil
}

// stream writes the events. It runs in its own goroutine and ends the request.
func (g *generation) stream(w *bufio.Writer, text string) {
	defer g.end()
	defer g.tokens.Close()
	defer func() {
		if p := recover(); p != nil {
			g.record(drtimeline.RequestPanicked, fmt.Sprintf("error=%q", fmt.Sprint(p)))
			g.fail(w, drerror.New(drerror.MayHaveRun, drerror.Internal, "internal error"))
		}
	}()
	role := "assistant"
	for {
		if text != "" || role != "" {
			if g.write(w, g.event(role, text, nil)) != nil {
				return
			}
			role = ""
		}
		var err error
		if text, err = g.next(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			g.fail(w, err)
			return
		}
	}
	if g.write(w, g.event("", "", &g.finish)) != nil {
		return
	}
	if g.body.StreamOptions.IncludeUsage {
		last := g.head
		last.Choices, last.Usage = []choice{}, &g.usage
		if g.write(w, last) != nil {
			return
		}
	}
	if writeEvent(w, "", []byte("[DONE]")) == nil {
		g.served(fasthttp.StatusOK)
	}
}

func (g *generation) event(role, text string, finish *string) reply {
	out := g.head
	c := choice{FinishReason: finish}
	if g.body.chat {
		c.Delta = &textMessage{Role: role, Content: text}
	} else {
		c.Text = &text
	}
	out.Choices = []choice{c}
	return out
}

// write sends an event; a failure means that the caller is gone.
func (g *generation) write(w *bufio.Writer, e reply) error {
	err := writeEvent(w, "", e.json())
	if err != nil {
		g.cancel(errCallerGone)
		g.logRefusal(newProblem(errCallerGone, g.id))
	}
	return err
}

// fail ends a stream that has begun with an error event.
func (g *generation) fail(w *bufio.Writer, err error) {
	p := newProblem(err, g.id)
	g.logRefusal(p)
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
	r.served(fasthttp.StatusOK)
	return nil
}
