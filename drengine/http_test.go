package drengine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

func setUp(t *testing.T, c drstandin.EngineConfig) (*drstandin.Engine, *drengine.HTTP) {
	t.Helper()
	c.Catalogue = []drstandin.Checkpoint{{Name: "m", Bytes: 60}, {Name: "n", Bytes: 60}}
	c.Memory, c.ReportLag, c.ChecksFence = 100, -1, true
	if c.TokenInterval == 0 {
		c.TokenInterval = time.Millisecond
	}
	e := drstandin.NewEngine(c)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	h := drengine.NewHTTP(drengine.HTTPConfig{Address: e.Address()})
	t.Cleanup(h.Close)
	ctx := context.Background()
	if err := h.Order(ctx, drengine.Order{Op: drengine.Load, Replica: "r", Model: "m", Fence: 5}); err != nil {
		t.Fatal(err)
	}
	for s := (drengine.State{}); len(s.Replicas) == 0 || s.Replicas[0].State != drengine.Loaded; {
		var err error
		if s, err = h.State(ctx, 0, s.Version, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	return e, h
}

// read returns the text up to the end or the first error.
func read(s drengine.TokenStream) (text string, n int, err error) {
	defer s.Close()
	for {
		t, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text, n, nil
		}
		if err != nil {
			return text, n, err
		}
		if !t.Done {
			text, n = text+t.Text, n+1
		}
	}
}

// Guards against an answer that is incomplete after a broken stream was
// resumed.
func TestResumeCompletesAnswer(t *testing.T) {
	is := is.New(t)
	e, h := setUp(t, drstandin.EngineConfig{})
	ctx := context.Background()
	e.SetFaults(drstandin.EngineFaults{DropAfter: 4})
	s, err := h.Generate(ctx, drengine.Generation{ID: "g", Model: "m", Prompt: "p", MaxTokens: 9})
	is.NoErr(err)
	text, n, err := read(s)
	is.Equal(drerror.Of(err), drerror.MayHaveRun)
	e.SetFaults(drstandin.EngineFaults{})
	s, err = h.Resume(ctx, "g", n)
	is.NoErr(err)
	rest, _, err := read(s)
	is.NoErr(err)
	is.Equal(text+rest, drstandin.Answer("m", "", "p", 9))

	_, err = h.Resume(ctx, "unknown", 0)
	is.Equal(drerror.ReasonOf(err), drerror.Unavailable)
	_, err = h.Generate(ctx, drengine.Generation{ID: "g", Model: "m"})
	is.Equal(drerror.Of(err), drerror.MayHaveRun) // the id has run already
	is.NoErr(h.Cancel(ctx, "g"))
	is.NoErr(h.Cancel(ctx, "g"))
}

// Guards against wrong verdicts, above all "not run" for what may have run.
func TestVerdicts(t *testing.T) {
	e, h := setUp(t, drstandin.EngineConfig{})
	ctx := context.Background()
	generate := func() error {
		_, err := h.Generate(ctx, drengine.Generation{ID: "v", Model: "m"})
		return err
	}
	check := func(what string, err error, v drerror.Verdict, r drerror.Reason) {
		t.Helper()
		if err == nil || drerror.Of(err) != v || drerror.ReasonOf(err) != r {
			t.Errorf("%s: %v is %v %v, want %v %v", what, err, drerror.Of(err), drerror.ReasonOf(err), v, r)
		}
	}
	check("stale", h.Order(ctx, drengine.Order{Op: drengine.Unload, Replica: "r", Fence: 4}), drerror.NotRun, drerror.Conflict)
	check("memory", h.Order(ctx, drengine.Order{Op: drengine.Load, Replica: "q", Model: "n", Fence: 5}), drerror.NotRun, drerror.NoCapacity)
	_, err := h.Generate(ctx, drengine.Generation{ID: "u", Model: "n"})
	check("not loaded", err, drerror.NotRun, drerror.UnknownModel)
	e.SetFaults(drstandin.EngineFaults{Refuse: true})
	check("refused", generate(), drerror.NotRun, drerror.Unavailable)
	e.SetFaults(drstandin.EngineFaults{Down: true})
	check("dropped", generate(), drerror.MayHaveRun, drerror.BackendFailed)
	e.Close()
	h.Close()
	check("no listener", generate(), drerror.NotRun, drerror.Unavailable)
}

// Guards against a client that sends one request twice by itself.
func TestNoHiddenRetry(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_, _ = c.Read(make([]byte, 1))
			c.Close()
		}
	}()
	h := drengine.NewHTTP(drengine.HTTPConfig{Address: ln.Addr().String()})
	is.Equal(drerror.Of(h.Cancel(context.Background(), "g")), drerror.MayHaveRun)
	is.Equal(len(accepted), 1)
}

// Guards against a reader that hangs after its deadline or its caller ended.
func TestStreamEndsWithContext(t *testing.T) {
	is := is.New(t)
	_, h := setUp(t, drstandin.EngineConfig{TokenInterval: 20 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	s, err := h.Generate(ctx, drengine.Generation{ID: "g", Model: "m"})
	is.NoErr(err)
	cancel()
	_, err = s.Next()
	is.Equal(drerror.ReasonOf(err), drerror.CallerGone)

	ctx, cancel = context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	s, err = h.Resume(ctx, "g", 0)
	if err == nil {
		_, err = s.Next()
	}
	is.Equal(drerror.ReasonOf(err), drerror.Deadline)
	is.Equal(drerror.Of(err), drerror.MayHaveRun)
}

// Guards against cache events that do not match the hashes of prompts.
func TestCacheEvents(t *testing.T) {
	is := is.New(t)
	_, h := setUp(t, drstandin.EngineConfig{EventLag: -1})
	prompt := string(make([]byte, 2*drengine.PrefixBlock+1))
	s, err := h.Generate(context.Background(), drengine.Generation{ID: "g", Model: "m", Prompt: prompt, MaxTokens: 1})
	is.NoErr(err)
	_, _, err = read(s)
	is.NoErr(err)
	es, err := h.CacheEvents(context.Background(), 0, time.Second)
	is.NoErr(err)
	is.Equal(es[0].Added, drengine.PrefixBlocks(prompt))
	is.Equal(len(es[0].Added), 2)
}

// Guards against answers and broken streams that leak their connection.
func TestConnectionsAreReturned(t *testing.T) {
	is := is.New(t)
	e, _ := setUp(t, drstandin.EngineConfig{})
	h := drengine.NewHTTP(drengine.HTTPConfig{Address: e.Address(), MaxConns: 1})
	defer h.Close()
	ctx := context.Background()
	for _, id := range []string{"a", "b", "c"} {
		s, err := h.Generate(ctx, drengine.Generation{ID: id, Model: "m", MaxTokens: 5})
		is.NoErr(err)
		_, err = s.Next()
		is.NoErr(err)
		is.NoErr(s.Close())
		_, err = h.State(ctx, 0, 0, 0)
		is.NoErr(err)
		_, err = h.Resume(ctx, "unknown", 0)
		is.Equal(drerror.ReasonOf(err), drerror.Unavailable)
	}
}
