package drstandin

import (
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
)

// maxTraffic bounds the recorded bytes of one stand-in; the oldest go first.
const maxTraffic = 4 << 20

// traffic records the requests that a stand-in received, so that tests can
// check that no caller's key arrived.
type traffic struct {
	mu   sync.Mutex
	seen []string
	size int
}

func (t *traffic) record(ctx *fasthttp.RequestCtx) {
	text := ctx.Request.Header.String() + string(ctx.PostBody())
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = append(t.seen, text)
	t.size += len(text)
	for t.size > maxTraffic {
		t.size -= len(t.seen[0])
		t.seen = t.seen[1:]
	}
}

// Saw reports whether any recorded request line, header or body contains text.
func (t *traffic) Saw(text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.seen {
		if strings.Contains(s, text) {
			return true
		}
	}
	return false
}

// handle answers GET /v1/saw?text=T and reports whether it did.
func (t *traffic) handle(ctx *fasthttp.RequestCtx) bool {
	if string(ctx.Path()) != sawPath {
		return false
	}
	answerJSON(ctx, fasthttp.StatusOK, map[string]bool{"saw": t.Saw(string(ctx.QueryArgs().Peek("text")))})
	return true
}
