package drplacement

import (
	"context"
	"time"
)

type loadPhase int

const (
	awaitingSlot loadPhase = iota
	slotGranted
	loadOrdered
)

// pendingLoad is a load in progress. Its bytes are reserved from the start.
type pendingLoad struct {
	key              modelKey
	replica          string
	bytes            int64
	source           checkpointSource
	phase            loadPhase
	phaseStart       time.Time // begin of the phase
	reportedByEngine bool      // the engine has reported the replica
	// unanswered counts the orders since the last one that was answered.
	unanswered int
	// slotWait is the expected wait for a slot, guarded by the keeper's mutex.
	slotWait time.Duration
	// giveBackSlot returns the slot; cancel ends waiting for it.
	giveBackSlot   func()
	cancelSlotWait context.CancelFunc
}

// releaseSlot frees what the load holds besides memory.
func (l *pendingLoad) releaseSlot() {
	if l.cancelSlotWait != nil {
		l.cancelSlotWait()
	}
	if l.giveBackSlot != nil {
		l.giveBackSlot()
		l.giveBackSlot = nil
	}
}
