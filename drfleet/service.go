package drfleet

import "time"

// Service is a set of runners any of which can take its requests: a plain one,
// or one whose runners are engines that load models on demand.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
	// ColdStart is how long a runner is cold after it has started, and ColdRate how
	// many requests per second a cold runner bears from all VMs together, 0 for no
	// bound.
	ColdStart time.Duration
	ColdRate  float64
	// ConnectionLimit is how many connections a runner accepts from all VMs together, 0
	// if that is not known. It resets those beyond.
	ConnectionLimit int
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	WeightMemory float64 // for weights of models and adapters, in MB
	AdapterSlots int     // adapters that one runner can have loaded
	Slots        int     // requests that one runner runs at once, 0 if not stated
	// PromptMemory is the number of tokens for which one runner has memory. Running
	// requests and the prompts that it keeps share it; 0 if it keeps none.
	PromptMemory int
	// LoadsPerSecond bounds the loads from the weight store by all runners
	// together.
	LoadsPerSecond float64
	Models         map[string]Model // by name
}

// Model is a model that the engines of a service can load.
type Model struct {
	Name        string
	Size        float64 // of the weights, in MB
	AdapterSize float64 // in MB
	// FromStore, FromDisk and FromMemory are the times to load the model from
	// the weight store, the runner's disk and the runner's host memory.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
}
