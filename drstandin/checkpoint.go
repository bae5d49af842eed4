package drstandin

import (
	"hash/fnv"
	"time"
)

const (
	// fullSpeedModelLoads is the number of loads that the weight store serves at once
	// at full speed, fastAdapters the same for adapters.
	fullSpeedModelLoads   = 4
	fullSpeedAdapterLoads = 32

	// An adapter loads in 5 to 10 ms, depending on its name.
	minAdapterLoadTime   = 5 * time.Millisecond
	adapterLoadTimeSteps = 6
)

// Checkpoint is a model, or an adapter if Base is set, with its size and its
// load times when nothing else loads.
type Checkpoint struct {
	Name  string `json:"name"`
	Base  string `json:"base,omitempty"`
	Bytes int64  `json:"bytes"`
	// Remote, Disk and Memory are the load times from the weight store and
	// from the caches of the engine's VM. They are not used for adapters.
	Remote Duration `json:"remote"`
	Disk   Duration `json:"disk"`
	Memory Duration `json:"memory"`
}

func (c Checkpoint) remoteLoadTime() time.Duration {
	if c.Base == "" {
		return time.Duration(c.Remote)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(c.Name))
	return minAdapterLoadTime + time.Duration(hash.Sum32()%adapterLoadTimeSteps)*time.Millisecond
}

// catalogue finds checkpoints by name.
type catalogue map[string]Checkpoint

func newCatalogue(checkpoints []Checkpoint) catalogue {
	byName := make(catalogue, len(checkpoints))
	for _, c := range checkpoints {
		byName[c.Name] = c
	}
	return byName
}
