package drproxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Wire translates the headers of requests and answers. A platform implements
// it.
type Wire interface {
	// IsReadiness reports whether a request asks whether this VM takes
	// connections.
	IsReadiness(header *fasthttp.RequestHeader) bool
	// Call decodes what a client's request says of itself.
	Call(header *fasthttp.RequestHeader) (*drfleet.Call, error)
	// Dispatch turns a client's header into that of a request to a runner.
	Dispatch(header *fasthttp.RequestHeader, dispatch Dispatch)
	// Answer decodes the header of a runner's answer.
	Answer(header *fasthttp.ResponseHeader) Answer
	// Deliver turns the header of a runner's answer into that of the answer to
	// the client.
	Deliver(header *fasthttp.ResponseHeader)
	// Refuse fills in the header of an answer that this VM makes itself. A
	// retryAfter of 0 is left out.
	Refuse(header *fasthttp.ResponseHeader, requestID string, retryAfter time.Duration)
}

// Dispatch is what the system adds to a request to a runner.
type Dispatch struct {
	// Instance is the only runner that may run the request.
	Instance string
	// Remaining is the time after which the answer is of no use.
	Remaining time.Duration
	Account   string // "" on public routes
	// LastEvent is the id of the last event that the client has, 0 if none.
	LastEvent int
	// Urgency orders the requests of a runner, 0 first; negative to leave it
	// out.
	Urgency int
}

// Answer is what the header of a runner's answer says.
type Answer struct {
	RequestID string
	// NotExecuted says that the runner has not run the request and will not.
	NotExecuted bool
	// Sealed says that the answer is signed by the runner.
	Sealed bool
	// Idle is how long the runner keeps an idle connection, 0 if unknown.
	Idle time.Duration
}
