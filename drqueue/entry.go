package drqueue

// queueEntry is an item with its place in the queue.
type queueEntry struct {
	item     Item
	flow     *accountFlow
	sequence uint64
	// result gets nil when the item is granted, or the refusal.
	result chan error
}
