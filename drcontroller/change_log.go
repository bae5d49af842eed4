package drcontroller

import "github.com/apex/log"

// maxChangeLines is how many lines one read of the store logs for single runners. A VM that
// starts in a large fleet learns of thousands, and their lines would use up the rate of the
// log, so that those about the lease and the controller would be dropped.
const maxChangeLines = 100

// changeLog logs the runners that a read of the store has changed, one line each up to
// maxChangeLines, and the number of the others.
type changeLog struct {
	lines, unlogged int
}

// add logs the change of one runner.
func (c *changeLog) add(fields log.Fields) {
	if c.lines == maxChangeLines {
		c.unlogged++
		return
	}
	c.lines++
	log.WithFields(fields).Info("")
}

// end ends a read.
func (c *changeLog) end() {
	if c.unlogged > 0 {
		log.WithFields(log.Fields{"event": "runners-changed", "further": c.unlogged, "source": "store"}).Info("")
	}
	*c = changeLog{}
}
