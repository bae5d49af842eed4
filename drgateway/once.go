package drgateway

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drrequest"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// Once ensures that a call with an Idempotency-Key runs at most once. It must be
// safe for concurrent use.
type Once interface {
	// Begin returns an attempt that may be dispatched once, or the recorded
	// answer of an earlier attempt, or an error with the reason KeyReused,
	// CallInProgress, OutcomeUnknown, KeyExpired, LogUnavailable or Deadline.
	Begin(ctx context.Context, call KeyedCall) (Attempt, *Record, error)
}

// KeyedCall identifies a call that carries an Idempotency-Key. Key is the value of
// that header; Fingerprint is the hash that tells a resend from another call with
// the same key.
type KeyedCall struct {
	RequestID   string
	Account     string
	Key         string
	Fingerprint drrequest.Fingerprint
}

// Attempt is the permission to dispatch a call once. The server calls exactly one
// of its methods.
type Attempt interface {
	// Finish records the outcome of the call. Record is nil if the backend
	// server did not answer.
	Finish(ctx context.Context, verdict drerror.Verdict, record *Record) error
	// Abandon frees the Idempotency-Key after a call that certainly did not
	// run.
	Abandon(ctx context.Context) error
}

// Record is the answer of a call, kept so that a resend gets it again.
type Record struct {
	Answer drrouter.Answer
	// Truncated is true if the answer was too large to be recorded. Answer then
	// has only the status.
	Truncated bool
}
