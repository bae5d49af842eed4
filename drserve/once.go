package drserve

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drgateway"
	"github.com/dotterelridge/dotterelridge/dridempotency"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drrouter"
)

// once adapts dridempotency.Once to the gate.
type once struct {
	o       *dridempotency.Reserver
	metrics *drmetric.Metrics
}

// Begin implements drgateway.Once.
func (a once) Begin(ctx context.Context, c drgateway.KeyedCall) (drgateway.Attempt, *drgateway.Record, error) {
	at, ans, err := a.o.Begin(ctx, dridempotency.Call{
		RequestID: c.RequestID, Account: c.Account, Key: c.Key, Fingerprint: c.Fingerprint[:],
	})
	result := "granted"
	if err != nil {
		result = drerror.ReasonOf(err).String()
	} else if ans != nil {
		result = "replayed"
	}
	a.metrics.Counter(drmetric.OnceCalls, result).Inc(1)
	if err != nil {
		return nil, nil, err
	}
	if ans != nil {
		return nil, recordOf(ans), nil
	}
	if err := at.Start(ctx); err != nil {
		return nil, nil, err
	}
	return attempt{at}, nil, nil
}

func recordOf(a *dridempotency.Answer) *drgateway.Record {
	r := &drgateway.Record{Answer: drrouter.Answer{Status: a.Status, Body: a.Body}}
	for _, h := range a.Headers {
		r.Answer.Header = append(r.Answer.Header, drrouter.Field{Name: h.Name, Value: h.Value})
	}
	return r
}

// attempt is a started attempt.
type attempt struct{ a *dridempotency.Attempt }

// Finish implements drgateway.Attempt.
func (a attempt) Finish(ctx context.Context, v drerror.Verdict, rec *drgateway.Record) error {
	o := dridempotency.Outcome{Verdict: v}
	// An answer that is too large to be kept is recorded as run without it, so
	// that a resend is told that the outcome is not available.
	if rec != nil && !rec.Truncated && v == drerror.Ran {
		o.Answer = &dridempotency.Answer{Status: rec.Answer.Status, Body: rec.Answer.Body}
		for _, h := range rec.Answer.Header {
			o.Answer.Headers = append(o.Answer.Headers, dridempotency.Header{Name: h.Name, Value: h.Value})
		}
	}
	return a.a.Finish(ctx, o)
}

// Abandon implements drgateway.Attempt.
func (a attempt) Abandon(ctx context.Context) error {
	return a.a.Finish(ctx, dridempotency.Outcome{Verdict: drerror.NotRun})
}
