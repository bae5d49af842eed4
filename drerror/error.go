package drerror

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
)

// Error is an error that concerns a request.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the stable cause.
	Reason Reason
	// RetryAfter is how long the caller should wait before it resends;
	// zero if waiting does not help.
	RetryAfter time.Duration
	cause      error
}

// New returns an Error with a message in the manner of fmt.Errorf.
func New(verdict Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: verdict, Reason: reason, cause: oops.Code(reason.String()).Errorf(format, args...)}
}

// Wrap returns an Error around err. It returns nil if err is nil.
func Wrap(verdict Verdict, reason Reason, err error, message string) error {
	if err == nil {
		return nil
	}
	return &Error{Verdict: verdict, Reason: reason, cause: oops.Code(reason.String()).Wrapf(err, "%s", message)}
}

// WithRetryAfter returns a copy that advises the caller to wait for d.
func (e *Error) WithRetryAfter(delay time.Duration) *Error {
	copied := *e
	copied.RetryAfter = delay
	return &copied
}

// Error implements error.
func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Of returns the verdict of err. An error without a verdict gives MayHaveRun,
// because "not run" must be certain; a nil error gives Ran.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of err; Deadline for an expired context and
// Internal for other errors without one.
func ReasonOf(err error) Reason {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Reason
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Deadline
	}
	return Internal
}
