package drserve

import (
	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// recorder keeps events in the ring and logs each as one line.
type recorder struct{ ring *drtimeline.Ring }

// Record implements drtimeline.Recorder.
func (r recorder) Record(e drtimeline.Event) {
	r.ring.Record(e)
	fields := log.Fields{"event": e.Name}
	for name, value := range map[string]string{
		"request-id": e.RequestID, "account": e.Account, "model": e.Model, "backend": e.Backend, "detail": e.Detail,
	} {
		if value != "" {
			fields[name] = value
		}
	}
	log.WithFields(fields).Info("")
}
