package drserve

import (
	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// recorder stores each event in the ring buffer, counts it if it has a metric, and
// logs it as one line if its level is enabled.
type recorder struct {
	ring    *drtimeline.Ring
	metrics *drmetric.Metrics
	vm      string
}

// Record implements drtimeline.Recorder. Events with an unknown name are logged as
// warnings.
func (r recorder) Record(e drtimeline.Event) {
	r.ring.Record(e)
	r.countEvent(e)
	level, ok := drtimeline.LevelOf(e.Name)
	if !ok {
		level = drtimeline.Warn
	}
	l, err := log.ParseLevel(string(level))
	if err != nil || !levelEnabled(l) {
		return
	}
	fields := log.Fields{"event": e.Name, "vm": r.vm}
	for _, a := range e.Attributes() {
		fields[a.Key] = a.Value
	}
	entry := log.WithFields(fields)
	switch l {
	case log.DebugLevel:
		entry.Debug("")
	case log.InfoLevel:
		entry.Info("")
	case log.WarnLevel:
		entry.Warn("")
	default:
		entry.Error("")
	}
}

// levelEnabled reports whether events of level l are logged. It saves building the
// fields of those that are not. A logger of another type decides for itself.
func levelEnabled(l log.Level) bool {
	logger, ok := log.Log.(*log.Logger)
	return !ok || l >= logger.Level
}

// countEvent updates the metric of an event, if there is one.
func (r recorder) countEvent(e drtimeline.Event) {
	m := r.metrics
	switch e.Name {
	case drtimeline.LoadEnded:
		m.Counter(drmetric.Loads, "loaded").Inc(1)
		m.Observe(drmetric.LoadTime, e.Took)
	case drtimeline.LoadFailed:
		m.Counter(drmetric.Loads, "failed").Inc(1)
	case drtimeline.UnloadOrdered:
		m.Counter(drmetric.Evictions, e.Reason).Inc(1)
	case drtimeline.GenerationRetried, drtimeline.CallRetried:
		m.Counter(drmetric.Retries, "allowed").Inc(1)
	case drtimeline.RetryRefused:
		m.Counter(drmetric.Retries, "over-budget").Inc(1)
	case drtimeline.BackendEjected:
		m.Counter(drmetric.Ejections).Inc(1)
	}
}
