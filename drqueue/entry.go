package drqueue

// queueEntry is an item in the queue or being served.
type queueEntry struct {
	item     Item
	flow     *accountFlow
	sequence uint64 // order of arrival in the queue
	// result receives nil when the item is granted, or the error that refuses
	// it. It has room for one value, so that sending never blocks.
	result chan error
}
