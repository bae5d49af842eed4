package drstandin

import (
	"hash/fnv"
	"time"
)

const (
	// fastLoads is the number of loads that the weight store serves at once
	// at full speed, fastAdapters the same for adapters.
	fastLoads    = 4
	fastAdapters = 32

	// An adapter loads in 5 to 10 ms, depending on its name.
	adapterTime   = 5 * time.Millisecond
	adapterSpread = 6
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

func (c Checkpoint) remoteTime() time.Duration {
	if c.Base == "" {
		return time.Duration(c.Remote)
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.Name))
	return adapterTime + time.Duration(h.Sum32()%adapterSpread)*time.Millisecond
}

// catalogue finds checkpoints by name.
type catalogue map[string]Checkpoint

func newCatalogue(cs []Checkpoint) catalogue {
	m := make(catalogue, len(cs))
	for _, c := range cs {
		m[c.Name] = c
	}
	return m
}
