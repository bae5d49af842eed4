package drqueue

// entry is an item with its place in the queue.
type entry struct {
	item     Item
	flow     *flow
	sequence uint64
	// granted gets nil when the item is granted, or the refusal.
	granted chan error
}
