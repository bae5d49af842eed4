package drserve

import (
	"context"

	"github.com/dotterelridge/dotterelridge/drgate"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/dronce"
	"github.com/dotterelridge/dotterelridge/drroute"
	"github.com/dotterelridge/dotterelridge/drverdict"
)

// once adapts dronce.Once to the gate.
type once struct {
	o       *dronce.Once
	metrics *drmetric.Metrics
}

// Begin implements drgate.Once.
func (a once) Begin(ctx context.Context, c drgate.KeyedCall) (drgate.Attempt, *drgate.Record, error) {
	at, ans, err := a.o.Begin(ctx, dronce.Call{
		RequestID: c.RequestID, Account: c.Account, Key: c.Key, Fingerprint: c.Fingerprint[:],
	})
	result := "granted"
	if err != nil {
		result = drverdict.ReasonOf(err).String()
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

func recordOf(a *dronce.Answer) *drgate.Record {
	r := &drgate.Record{Answer: drroute.Answer{Status: a.Status, Body: a.Body}}
	for _, h := range a.Headers {
		r.Answer.Header = append(r.Answer.Header, drroute.Field{Name: h.Name, Value: h.Value})
	}
	return r
}

// attempt is a started attempt.
type attempt struct{ a *dronce.Attempt }

// Finish implements drgate.Attempt.
func (a attempt) Finish(ctx context.Context, v drverdict.Verdict, rec *drgate.Record) error {
	o := dronce.Outcome{Verdict: v}
	// An answer that is too large to be kept is recorded as run without it, so
	// that a resend is told that the outcome is not available.
	if rec != nil && !rec.Truncated && v == drverdict.Ran {
		o.Answer = &dronce.Answer{Status: rec.Answer.Status, Body: rec.Answer.Body}
		for _, h := range rec.Answer.Header {
			o.Answer.Headers = append(o.Answer.Headers, dronce.Header{Name: h.Name, Value: h.Value})
		}
	}
	return a.a.Finish(ctx, o)
}

// Abandon implements drgate.Attempt.
func (a attempt) Abandon(ctx context.Context) error {
	return a.a.Finish(ctx, dronce.Outcome{Verdict: drverdict.NotRun})
}
