package drload

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// maxConnections limits the open connections to each target. Requests beyond it fail
// with the reason "transport".
const maxConnections = 4096

// Run sends the profile's requests at their planned times, whether or not earlier ones
// were answered, and returns the report after the last answer. If ctx ends, Run sends no
// further requests and reports those sent until then, without an error.
func Run(ctx context.Context, clock drclock.Clock, profile Profile) (Report, error) {
	if err := profile.Validate(); err != nil {
		return Report{}, err
	}
	client := newClient()
	var mu sync.Mutex
	var outcomes []outcome
	var running sync.WaitGroup
	start := clock.Now()
	for _, request := range planArrivals(profile) {
		if err := clock.Sleep(ctx, request.sinceStart-clock.Since(start)); err != nil {
			break
		}
		running.Go(func() {
			result := sendRequest(client, profile.Targets[request.target], profile.Accounts[request.account], request)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, result)
		})
	}
	running.Wait()
	return newReport(profile, outcomes, clock.Since(start).Round(time.Millisecond)), nil
}

// newClient returns an HTTP client that streams answers and never retries.
func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		StreamResponseBody:       true,
		MaxConnsPerHost:          maxConnections,
		NoDefaultUserAgentHeader: true,
		// Retries would hide refusals from the report and double the load.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}
