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

// startLoadedEngine starts an engine for the duration of the test, with replica r of
// model m loaded and fencing token 5, and a client of it.
func startLoadedEngine(t *testing.T, config drstandin.EngineConfig) (*drstandin.Engine, *drengine.HTTP) {
	t.Helper()
	config.Catalogue = []drstandin.Checkpoint{{Name: "m", Bytes: 60}, {Name: "n", Bytes: 60}}
	config.Memory, config.ReportLag, config.ChecksFence = 100, -1, true
	if config.TokenInterval == 0 {
		config.TokenInterval = time.Millisecond
	}
	engine := drstandin.NewEngine(config)
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	client := drengine.NewHTTP(drengine.HTTPConfig{Address: engine.Address()})
	t.Cleanup(client.Close)
	ctx := context.Background()
	if err := client.Order(ctx, drengine.Order{Op: drengine.Load, Replica: "r", Model: "m", Fence: 5}); err != nil {
		t.Fatal(err)
	}
	for state := (drengine.State{}); len(state.Replicas) == 0 || state.Replicas[0].State != drengine.Loaded; {
		var err error
		if state, err = client.State(ctx, 0, state.Version, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	return engine, client
}

// readAll reads the stream up to its end or the first error, and returns the text and
// the number of tokens.
func readAll(stream drengine.TokenStream) (text string, tokens int, err error) {
	defer stream.Close()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text, tokens, nil
		}
		if err != nil {
			return text, tokens, err
		}
		if !token.Done {
			text, tokens = text+token.Text, tokens+1
		}
	}
}

// Guards against lost or repeated tokens when a broken stream is resumed, and against
// a generation that runs twice under one id.
func TestResumeCompletesAnswer(t *testing.T) {
	is := is.New(t)
	engine, client := startLoadedEngine(t, drstandin.EngineConfig{})
	ctx := context.Background()
	engine.SetFaults(drstandin.EngineFaults{DropAfter: 4})
	stream, err := client.Generate(ctx, drengine.Generation{ID: "g", Model: "m", Prompt: "p", MaxTokens: 9})
	is.NoErr(err)
	text, tokens, err := readAll(stream)
	is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
	engine.SetFaults(drstandin.EngineFaults{})
	stream, err = client.Resume(ctx, "g", tokens)
	is.NoErr(err)
	rest, _, err := readAll(stream)
	is.NoErr(err)
	is.Equal(text+rest, drstandin.Answer("m", "", "p", 9))

	_, err = client.Resume(ctx, "unknown", 0)
	is.Equal(drerror.ReasonOf(err), drerror.Unavailable)
	_, err = client.Generate(ctx, drengine.Generation{ID: "g", Model: "m"})
	is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun) // a generation with this id has run
	is.NoErr(client.Cancel(ctx, "g"))
	is.NoErr(client.Cancel(ctx, "g"))
}

// Guards against wrong verdicts of failed calls. The worst is NotRun for a call that
// may have run, because the caller then repeats it.
func TestVerdicts(t *testing.T) {
	engine, client := startLoadedEngine(t, drstandin.EngineConfig{})
	ctx := context.Background()
	generate := func() error {
		_, err := client.Generate(ctx, drengine.Generation{ID: "v", Model: "m"})
		return err
	}
	expectError := func(failure string, err error, verdict drerror.Verdict, reason drerror.Reason) {
		t.Helper()
		if err == nil || drerror.VerdictOf(err) != verdict || drerror.ReasonOf(err) != reason {
			t.Errorf("%s: %v is %v %v, want %v %v", failure, err, drerror.VerdictOf(err), drerror.ReasonOf(err), verdict, reason)
		}
	}
	expectError("stale", client.Order(ctx, drengine.Order{Op: drengine.Unload, Replica: "r", Fence: 4}), drerror.NotRun, drerror.Conflict)
	expectError("memory", client.Order(ctx, drengine.Order{Op: drengine.Load, Replica: "q", Model: "n", Fence: 5}), drerror.NotRun, drerror.NoCapacity)
	_, err := client.Generate(ctx, drengine.Generation{ID: "u", Model: "n"})
	expectError("not loaded", err, drerror.NotRun, drerror.UnknownModel)
	engine.SetFaults(drstandin.EngineFaults{Refuse: true})
	expectError("refused", generate(), drerror.NotRun, drerror.Unavailable)
	engine.SetFaults(drstandin.EngineFaults{Down: true})
	expectError("dropped", generate(), drerror.MayHaveRun, drerror.BackendFailed)
	engine.Close()
	client.Close()
	expectError("no listener", generate(), drerror.NotRun, drerror.Unavailable)
}

// Guards against a client that repeats a request on its own, as fasthttp does with
// DELETE when the connection closes without a response.
func TestNoHiddenRetry(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			_, _ = conn.Read(make([]byte, 1))
			conn.Close()
		}
	}()
	client := drengine.NewHTTP(drengine.HTTPConfig{Address: listener.Addr().String()})
	is.Equal(drerror.VerdictOf(client.Cancel(context.Background(), "g")), drerror.MayHaveRun)
	is.Equal(len(accepted), 1)
}

// Guards against a Next that hangs after its context was canceled or its deadline has
// passed, because the engine sends no token.
func TestStreamEndsWithContext(t *testing.T) {
	is := is.New(t)
	_, client := startLoadedEngine(t, drstandin.EngineConfig{TokenInterval: 20 * time.Second})
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := client.Generate(ctx, drengine.Generation{ID: "g", Model: "m"})
	is.NoErr(err)
	cancel()
	_, err = stream.Next()
	is.Equal(drerror.ReasonOf(err), drerror.CallerGone)

	ctx, cancel = context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	stream, err = client.Resume(ctx, "g", 0)
	if err == nil {
		_, err = stream.Next()
	}
	is.Equal(drerror.ReasonOf(err), drerror.Deadline)
	is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
}

// Guards against cache events whose blocks differ from those that PrefixBlocks
// computes from the prompt.
func TestCacheEvents(t *testing.T) {
	is := is.New(t)
	_, client := startLoadedEngine(t, drstandin.EngineConfig{EventLag: -1})
	prompt := string(make([]byte, 2*drengine.PrefixBlock+1))
	stream, err := client.Generate(context.Background(), drengine.Generation{ID: "g", Model: "m", Prompt: prompt, MaxTokens: 1})
	is.NoErr(err)
	_, _, err = readAll(stream)
	is.NoErr(err)
	events, err := client.CacheEvents(context.Background(), 0, time.Second)
	is.NoErr(err)
	is.Equal(events[0].Added, drengine.PrefixBlocks(prompt))
	is.Equal(len(events[0].Added), 2)
}

// Guards against calls, closed streams and error responses that do not release their
// connection. With one connection, the next call would then fail.
func TestConnectionsAreReturned(t *testing.T) {
	is := is.New(t)
	engine, _ := startLoadedEngine(t, drstandin.EngineConfig{})
	client := drengine.NewHTTP(drengine.HTTPConfig{Address: engine.Address(), MaxConns: 1})
	defer client.Close()
	ctx := context.Background()
	for _, id := range []string{"a", "b", "c"} {
		stream, err := client.Generate(ctx, drengine.Generation{ID: id, Model: "m", MaxTokens: 5})
		is.NoErr(err)
		_, err = stream.Next()
		is.NoErr(err)
		is.NoErr(stream.Close())
		_, err = client.State(ctx, 0, 0, 0)
		is.NoErr(err)
		_, err = client.Resume(ctx, "unknown", 0)
		is.Equal(drerror.ReasonOf(err), drerror.Unavailable)
	}
}
