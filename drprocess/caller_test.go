package drprocess

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drstandin"
)

// deadlineMargin is how much later than its deadline a response may arrive.
const deadlineMargin = time.Second

// completionRequest is a request for a completion. A zero timeout means 20 s.
type completionRequest struct {
	key, model, prompt string
	tokens             int
	stream             bool
	timeout            time.Duration
	// onEvent, if not nil, is called after each event of a stream with the
	// number of events so far.
	onEvent func(n int)
}

// serviceCall is a call of a plain service. A zero timeout means 10 s; without a
// key or an idempotencyKey the header is left out.
type serviceCall struct {
	key, method, path, body, idempotencyKey string
	timeout                                 time.Duration
}

// answer is what a caller received. done means that the answer is complete; problem
// is set instead if the request was refused or its stream ended with an error.
type answer struct {
	status   int
	id       string
	text     string // of the completion
	body     []byte
	usage    int // tokens
	done     bool
	problem  *problem
	replayed bool
	err      error // of the connection
	duration time.Duration
}

// problem is a refusal as an RFC 9457 problem document. Run is the verdict on
// whether the request was executed: not-run, may-have-run or ran.
type problem struct {
	Type   string `json:"type"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Run    string `json:"run"`
}

func (p *problem) hasType(suffix string) bool {
	return p != nil && strings.HasSuffix(p.Type, "/"+suffix)
}

func (a answer) String() string {
	if a.problem != nil {
		return fmt.Sprintf("%d %s run=%s %s after %s", a.status, a.problem.Type, a.problem.Run, a.problem.Detail, a.duration)
	}
	return fmt.Sprintf("status %d, done %v, error %v, %q after %s", a.status, a.done, a.err, a.text, a.duration)
}

// completionBody is the part that the tests read of an OpenAI response or stream
// event.
type completionBody struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage struct {
		Total int `json:"total_tokens"`
	} `json:"usage"`
}

// requestCompletion sends the request to the VM v and reads the whole answer.
func (c *cluster) requestCompletion(v *vm, request completionRequest) answer {
	if request.timeout == 0 {
		request.timeout = 20 * time.Second
	}
	body, err := json.Marshal(map[string]any{
		"model": request.model, "prompt": request.prompt, "max_tokens": request.tokens, "stream": request.stream,
		"stream_options": map[string]bool{"include_usage": request.stream},
	})
	if err != nil {
		return answer{err: err}
	}
	a := c.send(v, http.MethodPost, "/v1/completions", body, request.timeout, map[string]string{
		"Authorization": "Bearer " + request.key, "Content-Type": "application/json",
	}, func(a *answer, reader io.Reader) { a.readCompletion(reader, request) })
	return a
}

// callService calls a plain service through the VM v and reads the whole answer.
func (c *cluster) callService(v *vm, call serviceCall) answer {
	if call.timeout == 0 {
		call.timeout = 10 * time.Second
	}
	header := map[string]string{}
	if call.key != "" {
		header["Authorization"] = "Bearer " + call.key
	}
	if call.idempotencyKey != "" {
		header["Idempotency-Key"] = call.idempotencyKey
	}
	return c.send(v, call.method, call.path, []byte(call.body), call.timeout, header, func(a *answer, reader io.Reader) {
		a.body, a.err = io.ReadAll(reader)
		a.done = a.err == nil
	})
}

// send sends a request to the VM v. It decodes a problem document itself and passes any
// other body to read. The id of a request that was refused as not-run is added to
// refusedIDs, that of a complete answer without a replay to servedIDs.
func (c *cluster) send(
	v *vm, method, path string, body []byte, timeout time.Duration, header map[string]string, read func(*answer, io.Reader),
) (a answer) {
	begin := time.Now()
	defer func() { a.duration = time.Since(begin) }()
	ctx, cancel := context.WithTimeout(context.Background(), timeout+2*deadlineMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.callersAddress+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	req.Header.Set("Request-Timeout", fmt.Sprint(timeout.Seconds()))
	res, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	a.status, a.id = res.StatusCode, res.Header.Get("X-Request-Id")
	a.replayed = res.Header.Get("Idempotency-Replayed") == "true"
	if res.Header.Get("Content-Type") == "application/problem+json" {
		a.problem = &problem{}
		a.err = json.NewDecoder(res.Body).Decode(a.problem)
	} else {
		read(&a, res.Body)
	}
	switch {
	case a.problem != nil && a.problem.Run == "not-run":
		c.refusedIDs.add(a.id)
	case a.problem == nil && a.done && !a.replayed:
		c.servedIDs.add(a.id)
	}
	return a
}

// readCompletion reads a completion, from a stream if the request asked for one.
func (a *answer) readCompletion(reader io.Reader, request completionRequest) {
	if !request.stream {
		var out completionBody
		if a.err = json.NewDecoder(reader).Decode(&out); a.err == nil && len(out.Choices) == 1 {
			a.text, a.usage, a.done = out.Choices[0].Text, out.Usage.Total, true
		}
		return
	}
	lines := bufio.NewScanner(reader)
	failed, events := false, 0
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !isData:
		case failed:
			a.problem = &problem{}
			a.err = json.Unmarshal([]byte(data), a.problem)
			return
		case data == "[DONE]":
			a.done = true
			return
		default:
			var out completionBody
			if a.err = json.Unmarshal([]byte(data), &out); a.err != nil {
				return
			}
			if len(out.Choices) == 1 {
				a.text += out.Choices[0].Text
			}
			a.usage = max(a.usage, out.Usage.Total)
			events++
			if request.onEvent != nil {
				request.onEvent(events)
			}
		}
	}
	if a.err = lines.Err(); a.err == nil {
		a.err = io.ErrUnexpectedEOF
	}
}

// checkComplete returns an error unless a is the complete answer to the request.
func (c *cluster) checkComplete(request completionRequest, a answer) error {
	want := drstandin.Answer(c.baseModel(request.model), c.adapterName(request.model), request.prompt, request.tokens)
	switch {
	case a.status != http.StatusOK || !a.done:
		return fmt.Errorf("%s: no complete answer: %s", request.model, a)
	case a.text != want:
		return fmt.Errorf("%s: got %q, want %q", request.model, a.text, want)
	}
	return nil
}

// checkSettled returns an error unless a arrived by the request's deadline and is the
// complete answer or a refusal. A refusal must have a verdict and a reason that
// applies to valid requests.
func (c *cluster) checkSettled(request completionRequest, a answer) error {
	if request.timeout == 0 {
		request.timeout = 20 * time.Second
	}
	if a.duration > request.timeout+deadlineMargin {
		return fmt.Errorf("%s: answered after the deadline: %s, deadline %s", request.model, a, request.timeout)
	}
	if a.problem == nil {
		return c.checkComplete(request, a)
	}
	for _, wrong := range []string{"unknown-model", "unknown-route", "not-allowed", "invalid-key", "malformed-request"} {
		if a.problem.hasType(wrong) {
			return fmt.Errorf("%s: a valid request was refused: %s", request.model, a)
		}
	}
	switch a.problem.Run {
	case "not-run", "may-have-run", "ran":
		return nil
	}
	return fmt.Errorf("%s: refusal without a verdict: %s", request.model, a)
}

// baseModel returns the model that an adapter is based on. If model names no
// adapter, it returns model.
func (c *cluster) baseModel(model string) string {
	if a, ok := c.config.Adapter(model); ok {
		return a.Base
	}
	return model
}

func (c *cluster) adapterName(model string) string {
	if _, ok := c.config.Adapter(model); ok {
		return model
	}
	return ""
}

// demoKey returns the key of an account of the deployments in examples/.
func demoKey(account string) string { return "drk_demo_" + account }

// requireNoError ends the test if err is not nil.
func requireNoError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
