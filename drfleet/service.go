package drfleet

import "time"

// Service is a set of interchangeable runners.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	WeightMemory float64 // for weights of models and adapters, in MB
	AdapterSlots int
	// LoadsPerSecond bounds loads from the weight store over all runners.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name        string
	Size        float64 // of the weights, in MB
	AdapterSize float64 // in MB
	// FromStore, FromDisk and FromMemory are load times by the place of the
	// weights: the weight store, the runner's disk, the runner's host memory.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
}
