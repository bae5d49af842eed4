package drplacement

// source is where an engine reads a checkpoint from.
type source int

const (
	fromMemory source = iota
	fromDisk
	fromRemote
	sources
)
