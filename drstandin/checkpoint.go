package drstandin

import (
	"hash/fnv"
	"time"
)

const (
	// The weight store serves this many concurrent loads of models, and of
	// adapters, at full speed. Beyond it, they slow down in proportion.
	fullSpeedModelLoads   = 4
	fullSpeedAdapterLoads = 32

	// An adapter loads in 5 to 10 ms: the minimum plus 0 to 5 ms, by a hash of
	// its name.
	minAdapterLoadTime   = 5 * time.Millisecond
	adapterLoadTimeSteps = 6
)

// Checkpoint describes the weights of a model, or of an adapter if Base names its
// base model. The load times hold while nothing else loads.
type Checkpoint struct {
	Name  string `json:"name"`
	Base  string `json:"base,omitempty"`
	Bytes int64  `json:"bytes"`
	// Remote, Disk and Memory are the load times from the weight store, and from
	// the disk and memory caches of the engine's VM. Adapters ignore them.
	Remote Duration `json:"remote"`
	Disk   Duration `json:"disk"`
	Memory Duration `json:"memory"`
}

// remoteLoadTime returns the time of an undisturbed load from the weight store.
func (c Checkpoint) remoteLoadTime() time.Duration {
	if c.Base == "" {
		return time.Duration(c.Remote)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(c.Name))
	return minAdapterLoadTime + time.Duration(hash.Sum32()%adapterLoadTimeSteps)*time.Millisecond
}

// catalogue maps names to checkpoints.
type catalogue map[string]Checkpoint

func newCatalogue(checkpoints []Checkpoint) catalogue {
	byName := make(catalogue, len(checkpoints))
	for _, c := range checkpoints {
		byName[c.Name] = c
	}
	return byName
}
