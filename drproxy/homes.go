package drproxy

import (
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// noHomeRetryAfter is the Retry-After of requests that no home can serve. Runners are
// added or configurations change no sooner.
const noHomeRetryAfter = time.Second

// homes returns the regions in which the request may be served.
func (x *exchange) homes() drfleet.Homes { return drfleet.HomesOf(x.route, x.account) }

// refuseWithoutHome returns the refusal for a request whose service has no runner in any of
// its homes, which are in the given zones. ok is true if it has one.
func (x *exchange) refuseWithoutHome(zones drfleet.Zones) (refused refusal, ok bool) {
	if !zones.Bind() || x.server.View.AnyRunner(x.service.Name, zones.Allow) {
		return refusal{}, true
	}
	log.WithFields(log.Fields{"event": "no-home", "request-id": x.call.ID, "route": x.route.Name, "service": x.service.Name}).Info("")
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no-home", retryAfter: noHomeRetryAfter,
		detail: "no region in which the request may be served has a runner"}, false
}
