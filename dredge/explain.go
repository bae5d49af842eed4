package dredge

import (
	"bytes"
	"encoding/json"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
)

// ExplainPath is where the listeners for metrics and readiness take the header of a
// request and answer with a drproxy.Explanation in JSON.
const ExplainPath = "/explain"

// maxExplainedHeader is the size in bytes of the largest header that is explained.
const maxExplainedHeader = 64 << 10

// handleExplain answers where the request in the body would go now.
func (e *Edge) handleExplain(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() || len(ctx.PostBody()) > maxExplainedHeader {
		ctx.Error("post the header of a request", fasthttp.StatusBadRequest)
		return
	}
	explanation, err := e.proxy.Explain(bytes.NewReader(ctx.PostBody()))
	if err != nil {
		ctx.Error("read the header of the request: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	data, err := json.Marshal(explanation)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	log.WithFields(log.Fields{"event": "explained", "from": ctx.RemoteAddr().String(), "route": explanation.Route,
		"account": explanation.Account, "candidates": len(explanation.Candidates)}).Info("")
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
