package drplacement

// grantedSlot is a weight store slot that was borrowed for a load but not yet
// assigned to it. giveBack ends the loan.
type grantedSlot struct {
	load     *pendingLoad
	giveBack func()
}
