package drplacement

// grantedSlot is a slot that was obtained for a load.
type grantedSlot struct {
	load     *pendingLoad
	giveBack func()
}
