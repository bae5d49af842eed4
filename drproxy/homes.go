package drproxy

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drbalancer"
	"github.com/dotterelridge/dotterelridge/drfleet"
)

// noHomeRetryAfter is the Retry-After of requests that no home can serve. Runners are
// added or configurations change no sooner.
const noHomeRetryAfter = time.Second

// homes returns the regions in which the request may be served.
func (x *exchange) homes() drfleet.Homes { return drfleet.HomesOf(x.route, x.account) }

// region returns the region of an availability zone, "" if it is not known.
func (s *Server) region(zone string) string { return s.Regions[zone] }

// candidatesAtHome returns the runners in the request's homes that can take it.
func (x *exchange) candidatesAtHome() []drbalancer.Candidate {
	candidates := x.server.View.Candidates(x.replica())
	homes := x.homes()
	if !homes.Bind() {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c drbalancer.Candidate) bool { return !homes.Allow(x.server.region(c.Runner.Zone)) })
}

// refuseWithoutHome returns the refusal for a request whose service has no runner in any of
// its homes. ok is true if it has one.
func (x *exchange) refuseWithoutHome() (refused refusal, ok bool) {
	homes := x.homes()
	if !homes.Bind() || x.server.View.AnyRunner(x.service.Name, func(zone string) bool { return homes.Allow(x.server.region(zone)) }) {
		return refusal{}, true
	}
	log.WithFields(log.Fields{"event": "no-home", "request-id": x.call.ID, "route": x.route.Name, "service": x.service.Name}).Info("")
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: "no-home", retryAfter: noHomeRetryAfter,
		detail: "no region in which the request may be served has a runner"}, false
}
