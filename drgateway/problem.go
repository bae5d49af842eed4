package drgateway

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drerror"
)

// problemTypePrefix is followed by the reason in the type member of a problem.
const problemTypePrefix = "https://dotterelridge.dev/problems/"

// problem is an RFC 9457 problem detail. Run is the verdict on whether the request
// was executed.
type problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Run       string `json:"run"`
	RequestID string `json:"request-id"`

	retryAfter time.Duration
}

// statusCallerGone is recorded for requests whose caller disconnected. Callers
// never receive it.
const statusCallerGone = 499

// reasonStatus maps the reasons that callers may see to HTTP statuses, as listed in
// docs/design.md, section 5. All other reasons are internal and are reported as
// 502 or 503; see newProblem.
var reasonStatus = map[drerror.Reason]int{
	drerror.MalformedRequest: fasthttp.StatusBadRequest,
	drerror.InvalidKey:       fasthttp.StatusUnauthorized,
	drerror.NotAllowed:       fasthttp.StatusForbidden,
	drerror.UnknownModel:     fasthttp.StatusNotFound,
	drerror.UnknownRoute:     fasthttp.StatusNotFound,
	drerror.KeyReused:        fasthttp.StatusConflict,
	drerror.CallInProgress:   fasthttp.StatusConflict,
	drerror.OutcomeUnknown:   fasthttp.StatusConflict,
	drerror.KeyExpired:       fasthttp.StatusConflict,
	drerror.TooLarge:         fasthttp.StatusRequestEntityTooLarge,
	drerror.CrashesBackend:   fasthttp.StatusUnprocessableEntity,
	drerror.OverRate:         fasthttp.StatusTooManyRequests,
	drerror.QueueFull:        fasthttp.StatusTooManyRequests,
	drerror.CallerGone:       statusCallerGone,
	drerror.BackendFailed:    fasthttp.StatusBadGateway,
	drerror.NoCapacity:       fasthttp.StatusServiceUnavailable,
	drerror.LogUnavailable:   fasthttp.StatusServiceUnavailable,
	drerror.Isolated:         fasthttp.StatusServiceUnavailable,
	drerror.Draining:         fasthttp.StatusServiceUnavailable,
	drerror.Deadline:         fasthttp.StatusGatewayTimeout,
}

// reasonTitles are the titles of problems. As RFC 9457 recommends, all problems of
// a type have the same title; the detail varies.
var reasonTitles = map[drerror.Reason]string{
	drerror.MalformedRequest: "The request cannot be parsed",
	drerror.InvalidKey:       "The key is missing or not valid",
	drerror.NotAllowed:       "The key may not do this",
	drerror.UnknownModel:     "The model does not exist",
	drerror.UnknownRoute:     "The route does not exist",
	drerror.KeyReused:        "The Idempotency-Key belongs to another request",
	drerror.CallInProgress:   "The call is still running",
	drerror.OutcomeUnknown:   "The outcome of the call is not known",
	drerror.KeyExpired:       "The Idempotency-Key is too old",
	drerror.TooLarge:         "The request is too large",
	drerror.CrashesBackend:   "The request crashes backend servers",
	drerror.OverRate:         "The client account is over its rate",
	drerror.QueueFull:        "The queue is full",
	drerror.CallerGone:       "The caller disconnected",
	drerror.BackendFailed:    "The backend server failed",
	drerror.NoCapacity:       "There is no capacity at present",
	drerror.LogUnavailable:   "The call cannot be recorded at present",
	drerror.Isolated:         "This VM is cut off from the others",
	drerror.Draining:         "This VM is shutting down",
	drerror.Deadline:         "The deadline passed",
}

// newProblem converts err to a problem for the caller. A reason that is not in
// reasonStatus becomes no-capacity if the request did not run, else
// backend-failed.
func newProblem(err error, requestID string) problem {
	reason, verdict := drerror.ReasonOf(err), drerror.VerdictOf(err)
	if _, ok := reasonStatus[reason]; !ok {
		if reason = drerror.BackendFailed; verdict == drerror.NotRun {
			reason = drerror.NoCapacity
		}
	}
	p := problem{
		Type: problemTypePrefix + reason.String(), Title: reasonTitles[reason], Status: reasonStatus[reason],
		Detail: publicDetail(err, reason), Run: verdict.String(), RequestID: requestID,
	}
	if e, ok := errors.AsType[*drerror.Error](err); ok {
		p.retryAfter = e.RetryAfter
	}
	if p.retryAfter == 0 {
		switch reason {
		case drerror.OverRate, drerror.QueueFull, drerror.NoCapacity, drerror.LogUnavailable,
			drerror.Isolated, drerror.Draining, drerror.CallInProgress:
			p.retryAfter = defaultRetryAfter
		}
	}
	return p
}

// publicDetail returns the text of err if callers may see it. Errors from behind
// the gateway may contain addresses or quote a backend server, so they give no
// detail.
func publicDetail(err error, reason drerror.Reason) string {
	switch reason {
	case drerror.BackendFailed, drerror.NoCapacity, drerror.Deadline, drerror.LogUnavailable:
		return ""
	}
	return err.Error()
}

func (p problem) json() []byte {
	b, err := json.Marshal(p)
	if err != nil {
		return nil // cannot happen: strings and an int always encode
	}
	return b
}

// write replaces the response by the problem.
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
