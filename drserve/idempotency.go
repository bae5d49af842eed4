package drserve

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/dridempotency"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// idempotencyAdapter adapts dridempotency.Reserver to drgateway.Once and counts the
// results.
type idempotencyAdapter struct {
	reserver *dridempotency.Reserver
	metrics  *drmetric.Metrics
}

// Begin implements drgateway.Once. An attempt that it returns has been started, so
// the call may be sent, but only once.
func (a idempotencyAdapter) Begin(ctx context.Context, call drgateway.KeyedCall) (drgateway.Attempt, *drgateway.Record, error) {
	attempt, answer, err := a.reserver.Begin(ctx, dridempotency.Call{
		RequestID: call.RequestID, Account: call.Account, Key: call.Key, Fingerprint: call.Fingerprint[:],
	})
	result := "granted"
	if err != nil {
		result = drerror.ReasonOf(err).String()
	} else if answer != nil {
		result = "replayed"
	}
	a.metrics.Counter(drmetric.OnceCalls, result).Inc(1)
	if err != nil {
		return nil, nil, err
	}
	if answer != nil {
		return nil, recordOf(answer), nil
	}
	if err := attempt.Start(ctx); err != nil {
		return nil, nil, err
	}
	return attemptAdapter{attempt}, nil, nil
}

// recordOf converts a recorded answer for the gateway.
func recordOf(answer *dridempotency.Answer) *drgateway.Record {
	record := &drgateway.Record{Answer: drrouter.Answer{Status: answer.Status, Body: answer.Body}}
	for _, h := range answer.Headers {
		record.Answer.Header = append(record.Answer.Header, drrouter.Field{Name: h.Name, Value: h.Value})
	}
	return record
}

// attemptAdapter adapts a started dridempotency.Attempt to drgateway.Attempt.
type attemptAdapter struct{ attempt *dridempotency.Attempt }

// Finish implements drgateway.Attempt.
func (a attemptAdapter) Finish(ctx context.Context, verdict drerror.Verdict, record *drgateway.Record) error {
	outcome := dridempotency.Outcome{Verdict: verdict}
	// For an answer that is too large to be kept, only the verdict is recorded.
	// A resend then learns that the call ran but its outcome is not available.
	if record != nil && !record.Truncated && verdict == drerror.Ran {
		outcome.Answer = &dridempotency.Answer{Status: record.Answer.Status, Body: record.Answer.Body}
		for _, h := range record.Answer.Header {
			outcome.Answer.Headers = append(outcome.Answer.Headers, dridempotency.Header{Name: h.Name, Value: h.Value})
		}
	}
	return a.attempt.Finish(ctx, outcome)
}

// Abandon implements drgateway.Attempt.
func (a attemptAdapter) Abandon(ctx context.Context) error {
	return a.attempt.Finish(ctx, dridempotency.Outcome{Verdict: drerror.NotRun})
}
