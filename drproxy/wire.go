package drproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Wire translates between HTTP headers and the types of this package. The
// platform implements it; implementations must be safe for concurrent use.
type Wire interface {
	// IsReadiness reports whether a request is a readiness probe, by which a
	// load balancer asks whether this VM takes connections.
	IsReadiness(header *fasthttp.RequestHeader) bool
	// Call decodes the header of a client's request. The request is refused as
	// malformed after an error, but the Call, if not nil, is still logged.
	Call(header *fasthttp.RequestHeader) (*drfleet.Call, error)
	// Dispatch turns the header of a client's request, in place, into that of
	// the request to a runner.
	Dispatch(header *fasthttp.RequestHeader, dispatch Dispatch)
	// Answer decodes the header of a runner's answer.
	Answer(header *fasthttp.ResponseHeader) Answer
	// Deliver turns the header of a runner's answer, in place, into that of the
	// answer to the client.
	Deliver(header *fasthttp.ResponseHeader)
	// Refuse adds headers to an answer that this VM makes itself. requestID may
	// be empty. A retryAfter of 0 adds no Retry-After.
	Refuse(header *fasthttp.ResponseHeader, requestID string, retryAfter time.Duration)
}

// Dispatch holds what this VM adds to the header of a request to a runner.
type Dispatch struct {
	// Instance is the ID of the only runner that may run the request.
	Instance string
	// Remaining is the time until the request's timeout, after which nobody
	// uses the answer.
	Remaining time.Duration
	Account   string // client account, "" if the request needs no key
	// LastEvent is the id of the last event that the client has, 0 if none.
	LastEvent int
	// Urgency ranks requests that compete for a runner, 0 for the most urgent.
	// A negative value leaves it out.
	Urgency int
}

// Answer holds what the header of a runner's answer says about the answer.
type Answer struct {
	RequestID string
	// NotExecuted says that the runner has not run the request and will not.
	NotExecuted bool
	// Sealed is set if the answer carries the runner's signature.
	Sealed bool
	// Leaving says that the runner leaves: it must get no new requests.
	Leaving bool
	// Pause is how long the runner wants no further requests of this VM, 0 if it
	// has not said so.
	Pause time.Duration
	// Limit is what the runner says of the requests that it takes.
	Limit RateLimit
	// Instance is the ID of the runner that answered, "" if it is not stated.
	Instance string
	// Malformed lists the headers whose value is none, as "name: value".
	Malformed []string
	// Idle is the runner's idle timeout for this connection, 0 if not stated.
	Idle time.Duration
}

// RateLimit is what an answer says of how many requests its runner takes.
type RateLimit struct {
	// Rate is the number of requests a second that the runner takes of all VMs
	// together. It is meaningful only if Named is set.
	Rate float64
	// Named is set if the runner takes a limited number, and Unclear if that cannot be
	// told from the answer. With neither, the runner takes any number.
	Named, Unclear bool
}
