package drplacement

import (
	"context"
	"time"
)

type loadPhase int

const (
	awaitingSlot loadPhase = iota
	slotGranted
	ordered
)

// load is a load in progress. Its bytes are reserved from the start.
type load struct {
	key     key
	replica string
	bytes   int64
	from    source
	phase   loadPhase
	since   time.Time // begin of the phase
	seen    bool      // the engine has reported the replica
	// unanswered counts the orders since the last one that was answered.
	unanswered int
	// slotWait is the expected wait for a slot, guarded by the keeper's mutex.
	slotWait time.Duration
	// give returns the slot; cancel ends waiting for it.
	give   func()
	cancel context.CancelFunc
}

// end frees what the load holds besides memory.
func (l *load) end() {
	if l.cancel != nil {
		l.cancel()
	}
	if l.give != nil {
		l.give()
		l.give = nil
	}
}
