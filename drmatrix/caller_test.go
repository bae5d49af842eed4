package drmatrix

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// answer is what a caller saw of one request. run is the verdict of a refusal or
// an error event on whether the request was executed, such as "not-run".
type answer struct {
	status   int
	run      string
	reason   string
	body     string // of a service call
	text     string // of a completion's stream
	tokens   int
	done     bool // [DONE] was read
	replayed bool
	err      error // of the connection
	ended    time.Time
}

// saysNotRun reports whether the caller was told that the request was not
// executed.
func (a answer) saysNotRun() bool { return a.run == "not-run" }

type problem struct {
	Type string `json:"type"`
	Run  string `json:"run"`
}

func (a *answer) readProblem(data []byte) {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil {
		a.err = fmt.Errorf("decode problem %q: %w", data, err)
		return
	}
	a.run, a.reason = p.Run, p.Type[strings.LastIndexByte(p.Type, '/')+1:]
}

// sendRequest sends a request to a VM on a connection of its own and returns the
// response. headers are pairs of a name and a value.
func sendRequest(ctx context.Context, vm *drserve.VM, method, path, key, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// callService sends a call of a plain service with an Idempotency-Key.
func callService(vm *drserve.VM, path, key, onceKey string, timeout time.Duration) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+5*time.Second)
	defer cancel()
	res, err := sendRequest(ctx, vm, http.MethodPost, path, key, "{}", "Idempotency-Key", onceKey, "Request-Timeout", fmt.Sprint(timeout.Seconds()))
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	a = answer{status: res.StatusCode, body: string(b), err: err, replayed: res.Header.Get("Idempotency-Replayed") == "true"}
	if a.status >= 400 && err == nil {
		a.readProblem(b)
	}
	return a
}

// streamCompletion requests a streamed completion and reads it to its end. onToken,
// if not nil, is called after each token with the number of tokens so far.
func streamCompletion(vm *drserve.VM, key, model, prompt string, tokens int, timeout time.Duration, onToken func(int)) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+5*time.Second)
	defer cancel()
	defer func() { a.ended = time.Now() }()
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return answer{err: err}
	}
	res, err := sendRequest(ctx, vm, http.MethodPost, "/v1/completions", key, string(body), "Request-Timeout", fmt.Sprint(timeout.Seconds()))
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	a.status = res.StatusCode
	if a.status != http.StatusOK {
		b, err := io.ReadAll(res.Body)
		a.err = err
		a.readProblem(b)
		return a
	}
	a.readStream(res.Body, onToken)
	return a
}

func (a *answer) readStream(reader io.Reader, onToken func(int)) {
	lines := bufio.NewScanner(reader)
	failed := false
	for lines.Scan() {
		if lines.Text() == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case failed:
			a.readProblem([]byte(data))
			return
		case data == "[DONE]":
			a.done = true
			return
		}
		var c struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if a.err = json.Unmarshal([]byte(data), &c); a.err != nil {
			return
		}
		if len(c.Choices) == 0 || c.Choices[0].Text == "" {
			continue
		}
		a.text += c.Choices[0].Text
		a.tokens++
		if onToken != nil {
			onToken(a.tokens)
		}
	}
	a.err = errors.Join(lines.Err(), io.ErrUnexpectedEOF)
}

// checkCompletion returns an error unless the answer is complete, is a refusal, or
// is a correct beginning that ends with an error (I8).
func (a answer) checkCompletion(model, prompt string, tokens int) error {
	want := drstandin.Answer(model, "", prompt, tokens)
	switch {
	case a.done && a.text != want:
		return fmt.Errorf("complete answer is %q, want %q", a.text, want)
	case !strings.HasPrefix(want, a.text):
		return fmt.Errorf("partial answer %q is not a prefix of %q", a.text, want)
	case a.saysNotRun() && a.text != "":
		return fmt.Errorf("refused as not-run after %d tokens were received", a.tokens)
	case !a.done && a.run == "" && a.err == nil:
		return errors.New("the answer ended without [DONE], error event or refusal")
	}
	return nil
}
