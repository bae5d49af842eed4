package dredge

import (
	"bytes"
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// ExplainPath is where the listeners for metrics and readiness take the header of a
// request and answer with a drproxy.Explanation in JSON.
const ExplainPath = "/explain"

// handleExplain answers where the request in the body would go now.
func (e *Edge) handleExplain(ctx *fasthttp.RequestCtx) {
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
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
