// Package drengine defines the interface of model engines and implements a client of
// their HTTP protocol.
package drengine

import (
	"context"
	"time"
)

// ReplicaState says whether a replica can run generations.
type ReplicaState string

// States of replicas that engines report. Only a Loaded replica runs generations.
const (
	Loading ReplicaState = "loading"
	Loaded  ReplicaState = "loaded"
)

// Replica is a model on an engine, or, if Adapter is set, an adapter on that model.
// Bytes is the memory that it takes.
type Replica struct {
	ID      string       `json:"replica"`
	Model   string       `json:"model"`
	Adapter string       `json:"adapter,omitempty"`
	State   ReplicaState `json:"state"`
	Bytes   int64        `json:"bytes"`
}

// CachedCheckpoints names the checkpoints that the engine's VM has in its memory and
// disk caches, from which they load faster than from the weight store.
type CachedCheckpoints struct {
	Memory []string `json:"memory"`
	Disk   []string `json:"disk"`
}

// State is the state that an engine reports. It can lag behind the actual state.
type State struct {
	// Version increases with each change. Engine.State can wait for a greater one.
	Version uint64 `json:"version"`
	// Instance identifies the engine process; it changes with each restart.
	Instance string `json:"instance"`
	// Fence is the highest fencing token that the engine has seen. It is 0 if the
	// engine does not check fencing tokens.
	Fence       uint64            `json:"fence"`
	MemoryBytes int64             `json:"memory-bytes"`
	UsedBytes   int64             `json:"used-bytes"`
	Capacity    int               `json:"capacity"` // generations that can run at once
	Running     int               `json:"running"`
	Waiting     int               `json:"waiting"`
	Leaving     bool              `json:"leaving"`
	Replicas    []Replica         `json:"replicas"`
	Cached      CachedCheckpoints `json:"cached"`
}

// Op is the operation of an Order.
type Op string

// Operations on replicas.
const (
	Load   Op = "load"
	Unload Op = "unload"
)

// Order tells an engine to load or unload a replica. It is idempotent, because Replica
// identifies the replica: to load one that exists, or to unload one that does not, has
// no effect.
type Order struct {
	// Fence is the sender's fencing token.
	Fence   uint64 `json:"fence"`
	Op      Op     `json:"op"`
	Replica string `json:"replica"`
	// Model names the checkpoint to load: a model or, if Base names its base model,
	// an adapter.
	Model string `json:"model"`
	Base  string `json:"base,omitempty"`
	Bytes int64  `json:"bytes"`
}

// Generation is a request to generate tokens.
type Generation struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Prompt  string `json:"prompt"`
	// Prefix holds the tokens that the caller has already received. The output
	// starts at index len(Prefix). MaxTokens includes them.
	Prefix    []string `json:"prefix,omitempty"`
	MaxTokens int      `json:"max-tokens"`
	// Priority is greater for more urgent generations.
	Priority int `json:"priority"`
}

// Token is one line of a token stream. The last line has Done set and no text; only
// it has a finish reason and token counts.
type Token struct {
	Index            int    `json:"index"`
	Text             string `json:"text"`
	Done             bool   `json:"done,omitempty"`
	FinishReason     string `json:"finish-reason,omitempty"`
	PromptTokens     int    `json:"prompt-tokens,omitempty"`
	CompletionTokens int    `json:"completion-tokens,omitempty"`
}

// CacheEvent reports that an engine added blocks to its prefix cache or evicted them.
// Blocks are hashes as PrefixBlocks returns them. A gap in Seq means that events were
// lost.
type CacheEvent struct {
	Seq     uint64   `json:"seq"`
	Model   string   `json:"model"`
	Added   []uint64 `json:"added,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// TokenStream delivers the tokens of a generation in order. Next must not be called
// concurrently; Close may be called while Next waits.
type TokenStream interface {
	// Next waits for the next token. After the token with Done set it returns
	// io.EOF. Any other error means that the output is incomplete.
	Next() (Token, error)
	// Close ends the reading. The generation goes on; Engine.Cancel ends it.
	Close() error
}

// Engine is a model engine. All errors are *drerror.Error.
type Engine interface {
	// State returns the state of the engine. If fencingToken is greater than the
	// engine's, the engine stores it first. If afterVersion is greater than 0,
	// State waits up to wait for a greater Version.
	State(ctx context.Context, fencingToken, afterVersion uint64, wait time.Duration) (State, error)
	// Order sends an order and returns when the engine has accepted it. The engine
	// may carry it out later. The error is drerror.Conflict if the fencing token is
	// stale, and drerror.NoCapacity if memory is lacking, both with the verdict
	// NotRun.
	Order(ctx context.Context, order Order) error
	// Generate starts a generation and returns its output.
	Generate(ctx context.Context, generation Generation) (TokenStream, error)
	// Resume reads the output of the generation id from token fromIndex on, for
	// example after a broken connection.
	Resume(ctx context.Context, id string, fromIndex int) (TokenStream, error)
	// Cancel ends a generation and drops its output.
	Cancel(ctx context.Context, id string) error
	// CacheEvents returns the events with a Seq greater than afterSeq. If there are
	// none, it waits up to wait for one.
	CacheEvents(ctx context.Context, afterSeq uint64, wait time.Duration) ([]CacheEvent, error)
}
