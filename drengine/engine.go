// Package drengine is the client of the model engines' protocol.
package drengine

import (
	"context"
	"time"
)

// ReplicaState says how far a replica is loaded.
type ReplicaState string

// States that engines report.
const (
	Loading ReplicaState = "loading"
	Loaded  ReplicaState = "loaded"
)

// Replica is a model or adapter on an engine. Adapter is empty for a model.
type Replica struct {
	ID      string       `json:"replica"`
	Model   string       `json:"model"`
	Adapter string       `json:"adapter,omitempty"`
	State   ReplicaState `json:"state"`
	Bytes   int64        `json:"bytes"`
}

// CachedCheckpoints lists checkpoints that the engine's VM holds without loading them.
type CachedCheckpoints struct {
	Memory []string `json:"memory"`
	Disk   []string `json:"disk"`
}

// State is an engine's report. It lags behind what the engine does.
type State struct {
	// Version grows with each change; State waits on it.
	Version uint64 `json:"version"`
	// Instance changes when the engine process restarts.
	Instance string `json:"instance"`
	// Fence is the highest fencing number seen, 0 if the engine checks none.
	Fence       uint64            `json:"fence"`
	MemoryBytes int64             `json:"memory-bytes"`
	UsedBytes   int64             `json:"used-bytes"`
	Capacity    int               `json:"capacity"` // generations that fit in a batch
	Running     int               `json:"running"`
	Waiting     int               `json:"waiting"`
	Leaving     bool              `json:"leaving"`
	Replicas    []Replica         `json:"replicas"`
	Cached      CachedCheckpoints `json:"cached"`
}

// Op is a kind of order.
type Op string

// Orders.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Order tells an engine to change what is loaded. Orders are idempotent by
// Replica.
type Order struct {
	Fence   uint64 `json:"fence"`
	Op      Op     `json:"op"`
	Replica string `json:"replica"`
	// Model is the checkpoint to load: a model, or an adapter if Base is set.
	Model string `json:"model"`
	Base  string `json:"base,omitempty"`
	Bytes int64  `json:"bytes"`
}

// Generation is a request for tokens.
type Generation struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// Prefix holds the tokens already delivered; output starts at index
	// len(Prefix).
	Prefix    []string `json:"prefix,omitempty"`
	MaxTokens int      `json:"max-tokens"`
	// Priority is higher for more urgent work.
	Priority int `json:"priority"`
}

// Token is one line of a generation's output. The last line has Done set.
type Token struct {
	Index            int    `json:"index"`
	Text             string `json:"text"`
	Done             bool   `json:"done,omitempty"`
	FinishReason     string `json:"finish-reason,omitempty"`
	PromptTokens     int    `json:"prompt-tokens,omitempty"`
	CompletionTokens int    `json:"completion-tokens,omitempty"`
}

// CacheEvent says that an engine added or dropped prompt prefix blocks. A gap
// in Seq means that events were lost.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Model   string   `json:"model"`
	Added   []uint64 `json:"added,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// TokenStream delivers a generation in order.
type TokenStream interface {
	// Next returns the next token. After the token with Done set it returns
	// io.EOF. A broken connection gives another error.
	Next() (Token, error)
	// Close cancels reading. It does not cancel the generation.
	Close() error
}

// Engine is one model engine. Errors are *drerror.Error.
type Engine interface {
	// State plants fence if it is greater than the engine's, and reports.
	// With after > 0 it waits up to wait for a Version greater than after.
	State(ctx context.Context, fencingToken, afterVersion uint64, wait time.Duration) (State, error)
	// Order sends an order. A stale fence gives drerror.Conflict, lack of
	// memory drerror.NoCapacity, both with NotRun.
	Order(ctx context.Context, order Order) error
	Generate(ctx context.Context, generation Generation) (TokenStream, error)
	// Resume continues the generation id at token index from.
	Resume(ctx context.Context, id string, fromIndex int) (TokenStream, error)
	Cancel(ctx context.Context, id string) error
	CacheEvents(ctx context.Context, after uint64, wait time.Duration) ([]CacheEvent, error)
}
