package drdemo

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// demo is a running cluster of demoEntryVMs entry VMs and the requests to try with it.
type demo struct {
	*Cluster
	example usageExample
}

func newDemo(t *testing.T, name string) demo {
	t.Helper()
	is := is.New(t)
	d := Deployments()[name]
	p, err := NewPlatform(PlatformConfig{Deployment: d})
	is.NoErr(err)
	t.Cleanup(p.Close)
	k, err := NewCluster(t.Context(), ClusterConfig{
		Deployment: d, Platform: p, EntryVMs: demoEntryVMs, Clock: drclock.System{}, DrainNotice: time.Millisecond,
	})
	is.NoErr(err)
	example, err := findUsageExample(d)
	is.NoErr(err)
	return demo{k, example}
}

func (d demo) url(vm int, path string) string {
	return "http://" + d.VMs()[vm].CallersAddress() + path
}

// post sends a body and returns the status and the JSON answer. It sends no key if key
// is empty.
func (d demo) post(t *testing.T, vm int, path, key, body string) (int, map[string]any) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.url(vm, path), strings.NewReader(body))
	is.NoErr(err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var answer map[string]any
	is.NoErr(json.NewDecoder(resp.Body).Decode(&answer))
	return resp.StatusCode, answer
}

// chat sends a chat request through the OpenAI client library, as callers do, and
// returns the streamed text.
func (d demo) chat(ctx context.Context, vm int, model, prompt string, tokens int) (string, error) {
	c := openai.DefaultConfig(d.example.key)
	c.BaseURL = d.url(vm, "/v1")
	s, err := openai.NewClientWithConfig(c).CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
		Model: model, MaxCompletionTokens: tokens, Stream: true,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: prompt}},
	})
	if err != nil {
		return "", err
	}
	defer s.Close()
	var text strings.Builder
	for {
		chunk, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		for _, x := range chunk.Choices {
			text.WriteString(x.Delta.Content)
		}
	}
}

// expectedAnswer returns the complete text with which the stand-in engine answers a
// chat request.
func expectedAnswer(model, prompt string, tokens int) string {
	return drstandin.Answer(model, "", "user: "+prompt+"\nassistant:", tokens)
}

// Guards against components that pass their own tests but do not work together. Each
// entry VM must answer for an idle model to an unmodified OpenAI client, refuse wrong
// requests as not run, and keep callers' keys from the engines.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	d := newDemo(t, "fjordsnor")
	defer func() { is.NoErr(d.Close()) }()
	for vm := range demoEntryVMs {
		text, err := d.chat(t.Context(), vm, d.example.idleModel, "next ferry", 20)
		is.NoErr(err)
		is.Equal(text, expectedAnswer(d.example.idleModel, "next ferry", 20))
	}
	for _, x := range []struct {
		name, path, key, body string
		status                int
	}{
		{"wrong key", "/v1/chat/completions", "drk_wrong", `{}`, http.StatusUnauthorized},
		{"malformed body", "/v1/chat/completions", d.example.key, `{"model":`, http.StatusBadRequest},
		{"unknown model", "/v1/completions", d.example.key, `{"model":"none","prompt":"x"}`, http.StatusNotFound},
		{"model of another account", "/v1/completions", d.example.key, `{"model":"snorrute-bid-agder","prompt":"x"}`, http.StatusForbidden},
		{"unknown route", "/nowhere", d.example.key, `{}`, http.StatusNotFound},
	} {
		status, body := d.post(t, 1, x.path, x.key, x.body)
		t.Log(x.name, body)
		is.Equal(status, x.status)
		is.Equal(body["run"], "not-run")
	}
	for _, e := range d.Platform.Engines {
		is.True(!e.Saw(d.example.key)) // callers' keys must not reach an engine (I5)
	}
}

// Guards against a drain that cuts streams that are still running.
func TestDrainCompletesStreams(t *testing.T) {
	is := is.New(t)
	d := newDemo(t, "retoque")
	_, err := d.chat(t.Context(), 0, d.example.model, "warm up", 1)
	is.NoErr(err)
	type result struct {
		text string
		err  error
	}
	results := make(chan result)
	const streams, tokens = 3, 100 // a stream takes about 1 s at 10 ms per token
	for vm := range streams {
		go func() {
			text, err := d.chat(context.WithoutCancel(t.Context()), vm, d.example.model, "long answer", tokens)
			results <- result{text, err}
		}()
	}
	for running := 0; running < streams; {
		running = 0
		for _, e := range d.Platform.Engines {
			running += e.Counts().Generations
		}
		running-- // do not count the warm-up request
		is.NoErr(d.Clock.Sleep(t.Context(), readyPollInterval))
	}
	is.NoErr(d.Drain(t.Context()))
	for range streams {
		r := <-results
		is.NoErr(r.err)
		is.Equal(r.text, expectedAnswer(d.example.model, "long answer", tokens))
	}
}
