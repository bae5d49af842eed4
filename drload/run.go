package drload

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// maxConnections bounds the connections to each target.
const maxConnections = 4096

// Run sends the profile's requests at their planned times, whether or not
// earlier ones have been answered, and returns the report.
func Run(ctx context.Context, c drclock.Clock, p Profile) (Report, error) {
	if err := p.Validate(); err != nil {
		return Report{}, err
	}
	client := newClient()
	var mu sync.Mutex
	var outcomes []outcome
	var running sync.WaitGroup
	start := c.Now()
	for _, ar := range plan(p) {
		if err := c.Sleep(ctx, ar.at-c.Since(start)); err != nil {
			break
		}
		running.Go(func() {
			o := send(client, p.Targets[ar.target], p.Accounts[ar.account], ar)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, o)
		})
	}
	running.Wait()
	return newReport(p, outcomes, c.Since(start).Round(time.Millisecond)), nil
}

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		StreamResponseBody:       true,
		MaxConnsPerHost:          maxConnections,
		NoDefaultUserAgentHeader: true,
		// Retrying would hide refusals and double the load.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}
