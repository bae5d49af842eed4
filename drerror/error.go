package drerror

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Error is an error that ended a request. It must be made with New or Wrap.
type Error struct {
	// Verdict says whether a backend server may have executed the request.
	Verdict Verdict
	// Reason is the cause from a fixed set, as callers see it.
	Reason Reason
	// RetryAfter is how long the caller should wait before resending the request.
	// Zero gives no advice.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error whose message is formatted as by fmt.Errorf.
func New(verdict Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: verdict, Reason: reason, cause: oops.Code(reason.String()).Errorf(format, args...)}
}

// Wrap returns an Error that wraps err, with a message that precedes that of err. It
// returns nil if err is nil.
func Wrap(verdict Verdict, reason Reason, err error, message string) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: verdict, Reason: reason, cause: oops.Code(reason.String()).Wrapf(err, "%s", message)}
}

// WithRetryAfter returns a copy of the error that advises the caller to wait for delay
// before resending the request.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	copied := *e
	copied.RetryAfter = delay
	return &copied
}

// Error implements error. The message does not include verdict and reason.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the wrapped error, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.cause }

// VerdictOf returns the verdict of err. For an error without a verdict it returns
// MayHaveRun, because NotRun must be certain: the request is then safe to resend. For a
// nil error it returns Ran.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of err. For an error without a reason it returns Deadline
// if a context's deadline expired, else Internal.
func ReasonOf(err error) Reason {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Reason
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Deadline
	}
	return Internal
}
