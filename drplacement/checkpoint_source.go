package drplacement

// checkpointSource is where an engine reads a checkpoint from.
type checkpointSource int

const (
	fromMemory        checkpointSource = iota // checkpoint cache in the memory of the backend server
	fromDisk                                  // checkpoint cache on the disk of the backend server
	fromRemote                                // weight store
	checkpointSources                         // number of sources
)
