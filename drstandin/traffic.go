package drstandin

import (
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

// maxRecordedBytes bounds the recorded bytes of one stand-in; the oldest go first.
const maxRecordedBytes = 4 << 20

// requestRecorder records the requests that a stand-in received, so that tests can
// check that no caller's key arrived.
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

// Saw reports whether any recorded request line, header or body contains text.
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

// handleSaw answers GET /v1/saw?text=T and reports whether it did.
func (t *requestRecorder) handleSaw(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != sawPath {
		return false
	}
	respondJSON(ctx, fasthttp.StatusOK, map[string]bool{"saw": t.Saw(string(ctx.QueryArgs().Peek("text")))})
	return true
}
