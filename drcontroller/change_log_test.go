package drcontroller

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// Guards against lines about the lease that are dropped because a read of thousands of
// runners has used up the rate of the log.
func TestManyNewRunnersLogFewLines(t *testing.T) {
	is := is.New(t)
	h := memory.New()
	former := log.Log
	log.Log = &log.Logger{Handler: h, Level: log.InfoLevel}
	defer func() { log.Log = former }()
	var c changeLog
	for range 3000 {
		c.add(log.Fields{"event": "runner-changed"})
	}
	c.end()
	is.Equal(len(h.Entries), maxChangeLines+1)
	is.Equal(h.Entries[maxChangeLines].Fields["further"], 3000-maxChangeLines)
	c.add(log.Fields{"event": "runner-changed"})
	c.end()
	is.Equal(len(h.Entries), maxChangeLines+2)
}
