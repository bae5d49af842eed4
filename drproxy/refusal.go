package drproxy

import (
	"maps"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drmetric"
)

// minLoggedUnread is the least time unread that the log states.
const minLoggedUnread = 20 * time.Millisecond

// refusal describes an answer that this VM makes itself instead of passing on
// that of a runner.
type refusal struct {
	status     int
	reason     string        // from a fixed set: it is also a metric label
	detail     string        // for the log only, "" for none
	basis      string        // what the refusal goes by, for the log only, "" for nothing
	retryAfter time.Duration // 0 leaves the header out
}

// refuse sends a refusal to the client, counts it and logs its reason.
func (x *exchange) refuse(response refusal) {
	var h fasthttp.ResponseHeader
	h.SetStatusCode(response.status)
	h.SetContentType("text/plain; charset=utf-8")
	body := []byte(response.reason + "\n")
	h.SetContentLength(len(body))
	x.server.Wire.Refuse(&h, x.requestID(), response.retryAfter)
	x.keepAlive = x.keepAlive && !x.server.crowded()
	x.setConnectionHeader(&h)
	x.server.Metrics.Counter(drmetric.Refusals, response.reason).Inc(1)
	x.logEnd("request-refused", response.status, log.Fields{"reason": response.reason, "detail": response.detail, "basis": response.basis, "retry-after": response.retryAfter})
	_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := h.WriteTo(x.conn.writer); err != nil {
		x.keepAlive = false
		return
	}
	if !x.header.IsHead() {
		_, _ = x.conn.writer.Write(body) // Flush returns the error
	}
	if x.conn.writer.Flush() != nil {
		x.keepAlive = false
	}
}

// setConnectionHeader adds Connection: close to the header of an answer if the
// connection takes no further request, as while the server drains.
func (x *exchange) setConnectionHeader(header *fasthttp.ResponseHeader) {
	if x.server.draining.Load() {
		x.keepAlive = false
	}
	if !x.keepAlive {
		header.SetConnectionClose()
	}
}

// requestID returns the id that the client sent, "" if the request could not be
// decoded.
func (x *exchange) requestID() string {
	if x.call == nil {
		return ""
	}
	return x.call.ID
}

// logEnd logs the end of a request: its outcome, the route, account, model and
// runner as far as they are known, and extra without its empty strings and zero
// durations.
func (x *exchange) logEnd(event string, status int, extra log.Fields) {
	f := log.Fields{"event": event, "request-id": x.requestID(), "status": status,
		"took": x.server.Clock.Since(x.start).Round(time.Millisecond), "attempts": x.attempts}
	if x.route != nil {
		f["route"], f["service"], f["version"] = x.route.Name, x.service.Name, x.configVersion
	}
	if x.call != nil && x.call.Model != "" {
		f["model"], f["adapter"] = x.call.Model, x.call.Adapter
	}
	if x.account != nil {
		f["account"] = x.account.Name
	}
	if x.runner != "" {
		f["runner"] = x.runner
	}
	if x.unread >= minLoggedUnread {
		f["unread"] = x.unread.Round(time.Millisecond)
	}
	maps.Copy(f, x.weighed())
	if x.waited > 0 {
		f["waited"] = x.waited.Round(time.Millisecond)
	}
	for k, v := range extra {
		if v != "" && v != time.Duration(0) {
			f[k] = v
		}
	}
	log.WithFields(f).Info("")
}
