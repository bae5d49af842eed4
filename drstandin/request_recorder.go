package drstandin

import (
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

// maxRecordedBytes bounds the requests that a recorder keeps; the oldest are dropped
// first.
const maxRecordedBytes = 4 << 20

// requestRecorder keeps the requests that a simulated system received, so that tests
// can check that the API keys of callers are not passed on to it.
type requestRecorder struct {
	mu         sync.Mutex
	requests   []string
	totalBytes int
}

func (t *requestRecorder) record(ctx *fasthttp.RequestCtx) {
	text := ctx.Request.Header.String() + string(ctx.PostBody())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, text)
	t.totalBytes += len(text)
	for t.totalBytes > maxRecordedBytes {
		t.totalBytes -= len(t.requests[0])
		t.requests = t.requests[1:]
	}
}

// Saw reports whether the request line, the headers or the body of any recorded
// request contain text.
func (t *requestRecorder) Saw(text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, request := range t.requests {
		if strings.Contains(request, text) {
			return true
		}
	}
	return false
}

// handle handles GET /v1/saw?text=T and reports whether this was such a request.
func (t *requestRecorder) handle(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != sawPath {
		return false
	}
	respondJSON(ctx, fasthttp.StatusOK, map[string]bool{"saw": t.Saw(string(ctx.QueryArgs().Peek("text")))})
	return true
}
