package drgateway

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// Once runs keyed calls at most once.
type Once interface {
	// Begin returns an attempt that may be dispatched once, or the recorded
	// answer of an earlier one, or an error with the reason KeyReused,
	// CallInProgress, OutcomeUnknown, KeyExpired, LogUnavailable or Deadline.
	Begin(ctx context.Context, c KeyedCall) (Attempt, *Record, error)
}

// KeyedCall identifies a call that carries an Idempotency-Key.
type KeyedCall struct {
	RequestID   string
	Account     string
	Key         string
	Fingerprint drrouter.Fingerprint
}

// Attempt is the right to dispatch a call once. Exactly one of its methods is
// called.
type Attempt interface {
	// Finish records the outcome; rec is nil if there was no answer.
	Finish(ctx context.Context, v drerror.Verdict, rec *Record) error
	// Abandon frees the key after a call that certainly did not run.
	Abandon(ctx context.Context) error
}

// Record is a recorded answer.
type Record struct {
	Answer drrouter.Answer
	// Truncated says that the body was too large to be recorded.
	Truncated bool
}
