package drproxy

import (
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

const (
	// maxLoggedValue bounds what the log shows of a malformed header, in bytes.
	maxLoggedValue = 64
	// maxPause bounds the time for which a runner may ask for no requests.
	maxPause = time.Hour
)

// recordStatements records what the runner says of itself in the header of its answer.
// The answer of another runner, which has got the address, says nothing of this one.
func (a *attempt) recordStatements() {
	for _, m := range a.answer.Malformed {
		a.exchange.server.Metrics.Counter(drmetric.MalformedStatements).Inc(1)
		a.logStatement("runner-statement-malformed", log.Fields{"header": m[:min(len(m), maxLoggedValue)]})
	}
	if a.answer.Instance != "" && a.answer.Instance != a.runner.ID {
		return
	}
	speaker := drfleetview.IncarnationOf(a.runner)
	a.recordLimit(speaker)
	if a.answer.Leaving && a.exchange.server.View.MarkLeaving(speaker) {
		a.logStatement("runner-leaving", nil)
		a.warnIfNoneLeft()
	}
	if length := min(a.answer.Pause, maxPause); length > 0 && a.exchange.server.View.Pause(speaker, length) {
		a.logStatement("runner-paused", log.Fields{"for": length, "asked": a.answer.Pause})
		a.warnIfNoneLeft()
	}
}

// recordLimit records how many requests the runner says that it takes. An answer that
// names no limit must name the request, as those of runners do, because bytes that are no
// answer name no limit either.
func (a *attempt) recordLimit(speaker drfleetview.Incarnation) {
	view, limit := a.exchange.server.View, a.answer.Limit
	switch {
	case limit.Unclear:
	case limit.Named:
		if view.OfferAnswer(speaker, max(limit.Rate, drfleetview.MinLimitRate), a.sentUptime) {
			a.logStatement("runner-limited", log.Fields{"rate": limit.Rate})
		}
	case a.answer.RequestID == a.exchange.call.ID && view.OfferAnswer(speaker, 0, a.sentUptime):
		a.logStatement("runner-unlimited", nil)
	}
}

// logStatement logs what a runner has said of itself in the answer to a request.
func (a *attempt) logStatement(event string, extra log.Fields) {
	f := log.Fields{"event": event, "runner": a.runner.ID, "started": a.runner.Started, "service": a.runner.Service,
		"source": "answer", "request-id": a.exchange.call.ID, "status": a.header.StatusCode()}
	for k, v := range extra {
		f[k] = v
	}
	log.WithFields(f).Info("")
}

// warnIfNoneLeft logs that no runner of the service takes requests of this VM any more.
func (a *attempt) warnIfNoneLeft() {
	if a.exchange.server.View.Usable(a.runner.Service) == 0 {
		log.WithFields(log.Fields{"event": "service-without-runners", "service": a.runner.Service, "last": a.runner.ID}).Warn("")
	}
}
