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
func (r recorder) Record(event drtimeline.Event) {
	r.ring.Record(event)
	r.countEvent(event)
	level, ok := drtimeline.LevelOf(event.Name)
	if !ok {
		level = drtimeline.Warn
	}
	logLevel, err := log.ParseLevel(string(level))
	if err != nil || !levelEnabled(logLevel) {
		return
	}
	fields := log.Fields{"event": event.Name, "vm": r.vm}
	for _, a := range event.Attributes() {
		fields[a.Key] = a.Value
	}
	entry := log.WithFields(fields)
	switch logLevel {
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

// levelEnabled reports whether events of a level are logged. It saves building the
// fields of those that are not. A logger of another type decides for itself.
func levelEnabled(level log.Level) bool {
	logger, ok := log.Log.(*log.Logger)
	return !ok || level >= logger.Level
}

// countEvent updates the metric of an event, if there is one.
func (r recorder) countEvent(event drtimeline.Event) {
	m := r.metrics
	switch event.Name {
	case drtimeline.LoadEnded:
		m.Counter(drmetric.Loads, "loaded").Inc(1)
		m.Observe(drmetric.LoadTime, event.Took)
	case drtimeline.LoadFailed:
		m.Counter(drmetric.Loads, "failed").Inc(1)
	case drtimeline.UnloadOrdered:
		m.Counter(drmetric.Evictions, event.Reason).Inc(1)
	case drtimeline.GenerationRetried, drtimeline.CallRetried:
		m.Counter(drmetric.Retries, "allowed").Inc(1)
	case drtimeline.RetryRefused:
		m.Counter(drmetric.Retries, "over-budget").Inc(1)
	case drtimeline.BackendEjected:
		m.Counter(drmetric.Ejections).Inc(1)
	}
}
