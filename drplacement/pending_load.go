package drplacement

import (
	"context"
	"time"
)

type loadPhase int

const (
	awaitingSlot loadPhase = iota // waits for a slot of the weight store
	slotGranted                   // can be ordered: has a slot or needs none
	loadOrdered                   // the order was sent
)

// pendingLoad is a load from the time that its memory is reserved until the
// replica is loaded or the load has failed.
type pendingLoad struct {
	key              modelKey
	replica          string
	bytes            int64
	source           checkpointSource
	phase            loadPhase
	phaseStart       time.Time
	reportedByEngine bool
	// unanswered counts the orders in a row that got no answer.
	unanswered int
	// slotWait is the expected wait for a slot, guarded by the mutex of the
	// runnerController.
	slotWait time.Duration
	// giveBackSlot ends the loan of the slot and cancelSlotWait the wait for
	// one. Either may be nil.
	giveBackSlot   func()
	cancelSlotWait context.CancelFunc
}

// releaseSlot gives the slot back or stops waiting for one. The reserved memory
// is freed by removing the load from its controller.
func (l *pendingLoad) releaseSlot() {
	if l.cancelSlotWait != nil {
		l.cancelSlotWait()
	}
	if l.giveBackSlot != nil {
		l.giveBackSlot()
		l.giveBackSlot = nil
	}
}
