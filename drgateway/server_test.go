package drgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

func TestMain(m *testing.M) {
	// The HTTP library keeps one goroutine per process for the Date header.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"user":"u","logit_bias":{}}`

func failure(verdict drerror.Verdict, reason drerror.Reason) error {
	return drerror.New(verdict, reason, "scripted")
}

// Guards against errors whose status, problem type or verdict differs from the table
// in docs/design.md, section 5, and against reservations and queue slots that are
// not settled exactly once after an error.
func TestRefusals(t *testing.T) {
	const chat, idempotencyHeader = "/v1/chat/completions", "Idempotency-Key: k1"
	notRun, mayHaveRun := drerror.NotRun, drerror.MayHaveRun
	for _, tt := range []struct {
		method, target, body string
		headers              []string
		configure            func(f *fakeSystem)
		status               int
		suffix, run          string
	}{
		{"POST", chat, "{", nil, nil, 400, "malformed-request", "not-run"},
		{"POST", chat, strings.Replace(chatBody, `"m"`, `"m","n":2`, 1), nil, nil, 400, "malformed-request", "not-run"},
		{"POST", chat, chatBody, []string{"Request-Timeout: soon"}, nil, 400, "malformed-request", "not-run"},
		{"POST", chat, chatBody, []string{"X Foo: v"}, nil, 400, "malformed-request", "not-run"},
		{"POST", chat, chatBody, []string{"Transfer Encoding: chunked"}, nil, 400, "malformed-request", "not-run"},
		{"POST", chat, chatBody, []string{"Priority: first"}, nil, 400, "malformed-request", "not-run"},
		{"POST", chat, chatBody, []string{"Authorization: Bearer other"}, nil, 401, "invalid-key", "not-run"},
		{"GET", "/nowhere", "", []string{"Authorization: Bearer other"}, nil, 401, "invalid-key", "not-run"},
		{"POST", "/open/x", "", []string{"Authorization: Bearer other", idempotencyHeader}, nil, 401, "invalid-key", "not-run"},
		{"POST", chat, strings.Replace(chatBody, `"m"`, `"secret"`, 1), nil, nil, 403, "not-allowed", "not-run"},
		{"GET", "/barred", "", nil, nil, 403, "not-allowed", "not-run"},
		{"POST", chat, strings.Replace(chatBody, `"m"`, `"x"`, 1), nil, nil, 404, "unknown-model", "not-run"},
		{"GET", "/nowhere", "", nil, nil, 404, "unknown-route", "not-run"},
		{"POST", "/bookings", "", []string{idempotencyHeader}, func(f *fakeSystem) { f.onceErr = failure(notRun, drerror.KeyReused) }, 409, "key-reused", "not-run"},
		{"POST", "/bookings", "", []string{idempotencyHeader}, func(f *fakeSystem) { f.onceErr = failure(mayHaveRun, drerror.CallInProgress) }, 409, "call-in-progress", "may-have-run"},
		{"POST", "/bookings", "", []string{idempotencyHeader}, func(f *fakeSystem) { f.onceErr = failure(mayHaveRun, drerror.OutcomeUnknown) }, 409, "outcome-unknown", "may-have-run"},
		{"POST", "/bookings", "", []string{idempotencyHeader}, func(f *fakeSystem) { f.record = &Record{Truncated: true} }, 409, "outcome-unknown", "may-have-run"},
		{"POST", "/bookings", "", []string{idempotencyHeader}, func(f *fakeSystem) { f.onceErr = failure(mayHaveRun, drerror.KeyExpired) }, 409, "key-expired", "may-have-run"},
		{"POST", chat, strings.Repeat(" ", 5000), nil, nil, 413, "too-large", "not-run"},
		{"POST", chat, "", []string{"X-Long: " + strings.Repeat("x", 3000)}, nil, 413, "too-large", "not-run"},
		{"POST", chat, chatBody, nil, func(f *fakeSystem) { f.generateErr = failure(drerror.Ran, drerror.CrashesBackend) }, 422, "crashes-backend", "ran"},
		{"POST", chat, chatBody, nil, func(f *fakeSystem) { f.limitErr = failure(notRun, drerror.OverRate) }, 429, "over-rate", "not-run"},
		{"POST", chat, chatBody, nil, func(f *fakeSystem) { f.queueErr = failure(notRun, drerror.QueueFull) }, 429, "queue-full", "not-run"},
		{"POST", chat, chatBody, nil, func(f *fakeSystem) { f.generateErr = failure(mayHaveRun, drerror.BackendFailed) }, 502, "backend-failed", "may-have-run"},
		{"POST", chat, chatBody, nil, func(f *fakeSystem) { f.beforeToken = func(context.Context, int) error { panic("scripted") } }, 502, "backend-failed", "may-have-run"},
		{"POST", "/bookings", "", nil, func(f *fakeSystem) { f.callErr = failure(mayHaveRun, drerror.BackendFailed) }, 502, "backend-failed", "may-have-run"},
		{"POST", chat, chatBody, nil, func(f *fakeSystem) { f.generateErr = failure(notRun, drerror.Unavailable) }, 503, "no-capacity", "not-run"},
		{"POST", "/bookings", "", []string{idempotencyHeader}, func(f *fakeSystem) { f.onceErr = failure(notRun, drerror.LogUnavailable) }, 503, "log-unavailable", "not-run"},
		{"GET", "/v1/models", "", nil, func(f *fakeSystem) { f.isolated = true }, 503, "isolated", "not-run"},
		{"POST", chat, chatBody, nil, func(f *fakeSystem) { f.queueErr = failure(notRun, drerror.Deadline) }, 504, "deadline", "not-run"},
		{"POST", chat, chatBody, []string{"Request-Timeout: 0.02"}, func(f *fakeSystem) {
			f.beforeToken = func(ctx context.Context, _ int) error { <-ctx.Done(); return ctx.Err() }
		}, 504, "deadline", "may-have-run"},
	} {
		t.Run(fmt.Sprint(tt.status, tt.suffix), func(t *testing.T) {
			is := is.New(t)
			f := newFakeSystem()
			if tt.configure != nil {
				tt.configure(f)
			}
			s := newTestServer(f)
			c := dial(t, s)
			headers := append([]string{"X-Request-Id: id-1"}, tt.headers...)
			if !strings.Contains(fmt.Sprint(headers), "Authorization") {
				headers = append(headers, "Authorization: Bearer "+testKey)
			}
			c.send(tt.method, tt.target, tt.body, headers...)
			res := c.receive(t)
			is.Equal(res.StatusCode(), tt.status)
			is.Equal(string(res.Header.ContentType()), "application/problem+json")
			var p problem
			is.NoErr(json.Unmarshal(res.Body(), &p))
			is.Equal(p.Type, problemTypePrefix+tt.suffix)
			is.Equal(p.Run, tt.run)
			is.Equal(p.Status, tt.status)
			is.True(p.Title != "")
			is.Equal(p.RequestID, string(res.Header.Peek("X-Request-Id")))
			is.Equal(p.RequestID == "id-1", tt.status != 413)
			if tt.status == 429 || tt.status == 503 {
				is.True(len(res.Header.Peek("Retry-After")) > 0)
			}
			waitIdle(t, s)
			is.Equal(len(f.settled), f.reserved)
			is.Equal(f.released, f.enqueued)
			if tt.run == "not-run" && f.reserved > 0 {
				is.Equal(f.settled[0], 0.0) // nothing ran, so the account is charged nothing
			}
		})
	}
}

// Guards against a wrong body, token usage, token limit or priority of a completion
// that is not streamed.
func TestWholeCompletion(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	s := newTestServer(f)
	res := do(t, s, "POST", "/v1/chat/completions", chatBody, "Priority: interactive", "X-Request-Id: id-1")
	is.Equal(res.StatusCode(), 200)
	var out reply
	is.NoErr(json.Unmarshal(res.Body(), &out))
	is.Equal(out.Choices[0].Message.Content, "Hei på deg")
	is.Equal(*out.Usage, usage{7, 3, 10})
	is.Equal(f.request.Prompt, "user: hi\nassistant:")
	is.Equal(f.request.MaxTokens, 50)
	is.Equal(f.items[0].Priority, drconfig.Draft) // limited to the priority of the model
	is.True(f.request.ID != "id-1")               // resends with the same id must not share a generation
	waitIdle(t, s)
	is.Equal(f.settled, []float64{10})
	is.Equal(f.closed, 1)

	res = do(t, s, "POST", "/v1/completions", `{"model":"adapter","prompt":"x","max_tokens":900,"stop":["å d"]}`)
	is.NoErr(json.Unmarshal(res.Body(), &out))
	is.Equal(*out.Choices[0].Text, "Hei p")
	is.Equal(f.request.MaxTokens, 80)
	res = do(t, s, "GET", "/v1/models", "")
	is.True(strings.Contains(string(res.Body()), `"adapter"`))
}

// readLine returns the next "data:" or "event:" line of a chunked event stream, or
// "" when the connection ends.
func (c *testClient) readLine(t *testing.T) string {
	t.Helper()
	for {
		l, err := c.reader.ReadString('\n')
		if err != nil {
			return ""
		}
		if l = strings.TrimSpace(l); strings.HasPrefix(l, "data: ") || strings.HasPrefix(l, "event: ") {
			return l
		}
	}
}

const streamBody = `{"model":"m","prompt":"x","stream":true,"stream_options":{"include_usage":true}}`

// Guards against a stream that sends tokens only when it ends instead of one by one,
// and against a stream without usage or without [DONE].
func TestStreamFlushesEachToken(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	step := make(chan struct{})
	f.beforeToken = func(context.Context, int) error { <-step; return nil }
	s := newTestServer(f)
	c := dial(t, s)
	c.send("POST", "/v1/completions", streamBody, "Authorization: Bearer "+testKey)
	for _, want := range f.tokens {
		step <- struct{}{}
		is.True(strings.Contains(c.readLine(t), `"text":"`+want+`"`))
	}
	step <- struct{}{}
	is.True(strings.Contains(c.readLine(t), `"finish_reason":"stop"`))
	is.True(strings.Contains(c.readLine(t), `"total_tokens":10`))
	is.Equal(c.readLine(t), "data: [DONE]")
	waitIdle(t, s)
	is.Equal(f.settled, []float64{10})
}

// Guards against a stream that ends without an error event, or even with [DONE],
// after a failure, a panic or the withdrawal of the key (I6), and against leaving
// the token stream open or the tokens and queue slot unsettled, also when the
// caller disconnects.
func TestStreamEndsEarly(t *testing.T) {
	for name, want := range map[string]string{
		"failure": `"status":502`, "panic": `"status":502`, "withdrawn": `"status":403`, "gone": "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeSystem()
			reached := make(chan struct{})
			f.beforeToken = func(ctx context.Context, i int) error {
				if i == 0 {
					return nil
				}
				switch name {
				case "failure":
					return failure(drerror.MayHaveRun, drerror.BackendFailed)
				case "panic":
					panic("scripted")
				}
				close(reached)
				<-ctx.Done()
				return ctx.Err()
			}
			s := newTestServer(f)
			c := dial(t, s)
			c.send("POST", "/v1/completions", streamBody, "Authorization: Bearer "+testKey)
			is.True(strings.Contains(c.readLine(t), "Hei"))
			start := time.Now()
			switch name {
			case "withdrawn":
				<-reached
				close(f.withdrawn)
			case "gone":
				<-reached
				close(c.disconnected)
				c.Close()
			}
			if want != "" {
				is.Equal(c.readLine(t), "event: error")
				l := c.readLine(t)
				is.True(strings.Contains(l, want))
				is.True(strings.Contains(l, `"run":"may-have-run"`))
				is.True(strings.Contains(l, problemTypePrefix))
				c.send("GET", "/v1/models", "", "Connection: close", "Authorization: Bearer "+testKey)
				is.True(!strings.Contains(c.readLine(t), "[DONE]"))
			}
			waitIdle(t, s)
			is.True(time.Since(start) < time.Second)
			is.Equal(f.closed, 1)
			is.Equal(f.settled, []float64{2}) // one prompt token and one output token
			is.Equal(f.released, 1)
		})
	}
}

// Guards against a request that stays in the queue after its key was withdrawn or its
// deadline passed, or that is then reported with a verdict other than not-run (I3,
// I6, I9).
func TestQueuedRequestEnds(t *testing.T) {
	for status, run := range map[int]func(f *fakeSystem){
		401: func(f *fakeSystem) { close(f.withdrawn) }, 504: func(*fakeSystem) {},
	} {
		is := is.New(t)
		f := newFakeSystem()
		f.onQueue = func() { run(f) }
		s := newTestServer(f)
		timeout := "Request-Timeout: 9"
		if status == 504 {
			timeout = "Request-Timeout: 0.03"
		}
		start := time.Now()
		res := do(t, s, "POST", "/v1/completions", streamBody, timeout)
		is.Equal(res.StatusCode(), status)
		is.True(strings.Contains(string(res.Body()), `"run":"not-run"`))
		is.True(time.Since(start) < time.Second)
		waitIdle(t, s)
		is.Equal(f.settled, []float64{0})
	}
}

// Guards against a call with an Idempotency-Key being interrupted when its key is
// withdrawn while the backend server runs it. The call must finish and its outcome
// must be recorded, but the answer must not be sent.
func TestPaidCallRunsToCompletion(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	s := newTestServer(f)
	f.onCall = func() { close(f.withdrawn); time.Sleep(20 * time.Millisecond) }
	res := do(t, s, "POST", "/bookings", "x", "Idempotency-Key: k")
	is.Equal(res.StatusCode(), 403)
	is.True(strings.Contains(string(res.Body()), `"run":"may-have-run"`))
	is.True(!strings.Contains(string(res.Body()), "booked"))
	is.Equal(f.outcomes, []string{"ran recorded=true"})
}

// Guards against an answer that is sent only after the request's deadline because
// recording its outcome blocks.
func TestAnswerDoesNotWaitPastDeadline(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	f.blockFinish = true
	begin := time.Now()
	res := do(t, newTestServer(f), "POST", "/bookings", "x", "Idempotency-Key: k", "Request-Timeout: 0.2")
	is.Equal(res.StatusCode(), 201)
	is.True(time.Since(begin) < time.Second)
}

// Guards against a call with an Idempotency-Key that records a wrong outcome for a
// success, a failure or a large answer, and against a resend that is dispatched
// again although there is a record.
func TestKeyedCalls(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	s := newTestServer(f)
	res := do(t, s, "POST", "/bookings/7?a=1", "x", "Idempotency-Key: k")
	is.Equal(res.StatusCode(), 201)
	is.Equal(string(res.Body()), "booked")
	is.Equal(string(res.Header.Peek("X-Kept")), "2")
	is.Equal(len(res.Header.Peek("X-Hop")), 0)
	is.Equal(f.calls[0].Target, "/bookings/7?a=1")
	is.True(!f.calls[0].Repeatable)
	f.callErr = failure(drerror.NotRun, drerror.Unavailable)
	is.Equal(do(t, s, "POST", "/bookings", "x", "Idempotency-Key: k").StatusCode(), 503)
	f.callErr = failure(drerror.MayHaveRun, drerror.BackendFailed)
	is.Equal(do(t, s, "POST", "/bookings", "x", "Idempotency-Key: k").StatusCode(), 502)
	f.callErr, f.answer.Body = nil, make([]byte, maxRecordedBytes+1)
	is.Equal(do(t, s, "POST", "/bookings", "x", "Idempotency-Key: k").StatusCode(), 201)
	is.Equal(f.outcomes, []string{"ran recorded=true", "abandoned", "may-have-run recorded=false", "ran recorded=false"})

	f.record = &Record{Answer: drrouter.Answer{Status: 202, Body: []byte("again")}}
	n := len(f.calls)
	res = do(t, s, "POST", "/bookings", "x", "Idempotency-Key: k")
	is.Equal(res.StatusCode(), 202)
	is.Equal(string(res.Header.Peek("Idempotency-Replayed")), "true")
	is.Equal(len(f.calls), n)
	is.Equal(do(t, s, "GET", "/bookings", "", "Idempotency-Key: k").StatusCode(), 201) // repeatable, so the record is not used
}

// Guards against a drain that cuts off a running stream (I12), or that refuses
// requests on kept-alive connections, whose responses must close the connection.
func TestDrainCompletesStreams(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	step := make(chan struct{})
	f.beforeToken = func(_ context.Context, i int) error {
		if i == 1 {
			<-step
		}
		return nil
	}
	s := newTestServer(f)
	keptAlive := dial(t, s)
	keptAlive.send("GET", "/v1/models", "", "Authorization: Bearer "+testKey)
	is.True(!keptAlive.receive(t).ConnectionClose())
	c := dial(t, s)
	c.send("POST", "/v1/completions", streamBody, "Authorization: Bearer "+testKey)
	is.True(strings.Contains(c.readLine(t), "Hei"))
	s.StartDrain()
	keptAlive.send("GET", "/v1/models", "", "Authorization: Bearer "+testKey)
	is.True(keptAlive.receive(t).ConnectionClose())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(s.Drain(ctx) != nil) // the stream is still running
	close(step)
	last := ""
	for l := c.readLine(t); l != ""; l = c.readLine(t) {
		if last = l; l == "data: [DONE]" {
			break
		}
	}
	is.Equal(last, "data: [DONE]")
	go func() { _, _ = c.reader.WriteTo(discard{}) }()
	ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(s.Drain(ctx))
	is.NoErr(s.Close())
}

// Guards against a request that arrives on a kept connection while the server drains,
// and is cut off when the server stops.
func TestDrainRefusesWhatMayOutlastIt(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	step := make(chan struct{})
	var blocked atomic.Bool
	f.beforeToken = func(_ context.Context, i int) error {
		if i == 1 && blocked.CompareAndSwap(false, true) {
			<-step
		}
		return nil
	}
	s := newTestServer(f)
	running, late := dial(t, s), dial(t, s)
	running.send("POST", "/v1/completions", streamBody, "Authorization: Bearer "+testKey)
	running.readLine(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	for s.drainEnd.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	late.send("POST", "/v1/completions", streamBody, "Authorization: Bearer "+testKey, "Request-Timeout: 60")
	answer := late.receive(t)
	close(step)
	is.Equal(answer.StatusCode(), 503)
	is.True(answer.ConnectionClose())
	go func() { _, _ = running.reader.WriteTo(discard{}) }()
	is.NoErr(<-drained)
	is.NoErr(s.Close())
}

// discard is a writer for the rest of a response.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// BenchmarkRequest measures what a streamed completion of one token costs in the
// gateway. The difference to one of 101 tokens is the cost of 100 tokens.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1, 101} {
		b.Run(fmt.Sprint("streamed-tokens=", n), func(b *testing.B) {
			f := newFakeSystem()
			f.tokens = make([]string, n)
			for i := range f.tokens {
				f.tokens[i] = "word "
			}
			s := newTestServer(f)
			c := dial(b, s)
			for range b.N {
				c.send("POST", "/v1/completions", streamBody, "Authorization: Bearer "+testKey)
				c.receive(b)
			}
		})
	}
}
