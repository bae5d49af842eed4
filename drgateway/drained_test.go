package drgateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that arrives on a kept connection when Drain has returned, and
// is cut off when the server is closed a moment later.
func TestDrainedServerRefuses(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	end := make(chan struct{})
	defer close(end)
	f.beforeToken = func(context.Context, int) error {
		<-end
		return nil
	}
	s := newTestServer(f)
	late := dial(t, s)
	late.send("GET", "/v1/models", "", "Authorization: Bearer "+testKey)
	is.True(!late.receive(t).ConnectionClose())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(s.Drain(ctx))
	late.send("POST", "/v1/completions", streamBody, "Authorization: Bearer "+testKey, "Request-Timeout: 1")
	closing := time.AfterFunc(100*time.Millisecond, func() { _ = s.Close() })
	defer closing.Stop()
	answer := late.receive(t)
	is.Equal(answer.StatusCode(), 503)
	is.True(answer.ConnectionClose())
}
