package drgate

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drverdict"
)

// problemType precedes the reason in the type member of a problem.
const problemType = "https://dotterelridge.dev/problems/"

// problem is an RFC 9457 problem detail.
type problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Run       string `json:"run"`
	RequestID string `json:"request-id"`

	retryAfter time.Duration
}

// statusCallerGone is logged for requests whose caller disconnected.
const statusCallerGone = 499

// reasonStatus is the table of docs/design.md, section 5. Reasons that are
// missing are internal to the system and give 502 or 503.
var reasonStatus = map[drverdict.Reason]int{
	drverdict.MalformedRequest: fasthttp.StatusBadRequest,
	drverdict.InvalidKey:       fasthttp.StatusUnauthorized,
	drverdict.NotAllowed:       fasthttp.StatusForbidden,
	drverdict.UnknownModel:     fasthttp.StatusNotFound,
	drverdict.UnknownRoute:     fasthttp.StatusNotFound,
	drverdict.KeyReused:        fasthttp.StatusConflict,
	drverdict.CallInProgress:   fasthttp.StatusConflict,
	drverdict.OutcomeUnknown:   fasthttp.StatusConflict,
	drverdict.KeyExpired:       fasthttp.StatusConflict,
	drverdict.TooLarge:         fasthttp.StatusRequestEntityTooLarge,
	drverdict.CrashesBackend:   fasthttp.StatusUnprocessableEntity,
	drverdict.OverRate:         fasthttp.StatusTooManyRequests,
	drverdict.QueueFull:        fasthttp.StatusTooManyRequests,
	drverdict.CallerGone:       statusCallerGone,
	drverdict.BackendFailed:    fasthttp.StatusBadGateway,
	drverdict.NoCapacity:       fasthttp.StatusServiceUnavailable,
	drverdict.LogUnavailable:   fasthttp.StatusServiceUnavailable,
	drverdict.Isolated:         fasthttp.StatusServiceUnavailable,
	drverdict.Draining:         fasthttp.StatusServiceUnavailable,
	drverdict.Deadline:         fasthttp.StatusGatewayTimeout,
}

// titles are stable per reason; details vary.
var titles = map[drverdict.Reason]string{
	drverdict.MalformedRequest: "The request cannot be parsed",
	drverdict.InvalidKey:       "The key is missing or not valid",
	drverdict.NotAllowed:       "The key may not do this",
	drverdict.UnknownModel:     "The model does not exist",
	drverdict.UnknownRoute:     "The route does not exist",
	drverdict.KeyReused:        "The Idempotency-Key belongs to another request",
	drverdict.CallInProgress:   "The call is still running",
	drverdict.OutcomeUnknown:   "The outcome of the call is not known",
	drverdict.KeyExpired:       "The Idempotency-Key is too old",
	drverdict.TooLarge:         "The request is too large",
	drverdict.CrashesBackend:   "The request crashes backend servers",
	drverdict.OverRate:         "The client account is over its rate",
	drverdict.QueueFull:        "The queue is full",
	drverdict.CallerGone:       "The caller disconnected",
	drverdict.BackendFailed:    "The backend server failed",
	drverdict.NoCapacity:       "There is no capacity at present",
	drverdict.LogUnavailable:   "The call cannot be recorded at present",
	drverdict.Isolated:         "This VM is cut off from the others",
	drverdict.Draining:         "This VM is shutting down",
	drverdict.Deadline:         "The deadline passed",
}

// newProblem describes err to the caller. Errors of the system's own layers
// become backend-failed or, if the request did not run, no-capacity.
func newProblem(err error, requestID string) problem {
	reason, verdict := drverdict.ReasonOf(err), drverdict.Of(err)
	if _, ok := reasonStatus[reason]; !ok {
		if reason = drverdict.BackendFailed; verdict == drverdict.NotRun {
			reason = drverdict.NoCapacity
		}
	}
	p := problem{
		Type: problemType + reason.String(), Title: titles[reason], Status: reasonStatus[reason],
		Detail: detail(err, reason), Run: verdict.String(), RequestID: requestID,
	}
	if e, ok := errors.AsType[*drverdict.Error](err); ok {
		p.retryAfter = e.RetryAfter
	}
	if p.retryAfter == 0 {
		switch reason {
		case drverdict.OverRate, drverdict.QueueFull, drverdict.NoCapacity, drverdict.LogUnavailable,
			drverdict.Isolated, drverdict.Draining, drverdict.CallInProgress:
			p.retryAfter = retryAfter
		}
	}
	return p
}

// detail leaves out the text of failures behind the gate, which may name
// addresses or quote a backend server.
func detail(err error, r drverdict.Reason) string {
	switch r {
	case drverdict.BackendFailed, drverdict.NoCapacity, drverdict.Deadline, drverdict.LogUnavailable:
		return ""
	}
	return err.Error()
}

func (p problem) json() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		return nil // strings and an int always encode
	}
	return b
}

// write makes p the response.
func (p problem) write(res *fasthttp.Response) {
	res.ResetBody()
	res.SetStatusCode(p.Status)
	res.Header.SetContentType("application/problem+json")
	if p.Status == fasthttp.StatusUnauthorized {
		res.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	if p.retryAfter > 0 {
		res.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	res.SetBody(p.json())
}
