package drplacement

// checkpointSource is where an engine reads a checkpoint from.
type checkpointSource int

const (
	fromMemory checkpointSource = iota
	fromDisk
	fromRemote
	checkpointSources
)
