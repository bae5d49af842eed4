package drstandin

import (
	"bufio"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// A transfer is sent in weightChunks pieces of chunkBytes, whatever the
	// nominal size: the time is what matters to engines.
	weightChunks = 16
	chunkBytes   = 256
)

// WeightStoreConfig sets up a WeightStore.
type WeightStoreConfig struct {
	Address   string
	Catalogue []Checkpoint
	// LoadRate is the budget of model loads per second; 0 means no limit.
	LoadRate float64
}

// WeightStoreFaults are the faults of a WeightStore.
type WeightStoreFaults struct {
	Down bool `json:"down"`
	// Slow multiplies all transfer times; 0 means 1.
	Slow float64 `json:"slow"`
}

// WeightStoreCounts are the counters of a WeightStore.
type WeightStoreCounts struct {
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	// MostModels and MostAdapters are the highest numbers in flight.
	MostModels   int `json:"most-models"`
	MostAdapters int `json:"most-adapters"`
}

// WeightStore stands in for the rate-limited weight store.
type WeightStore struct {
	server
	switches[WeightStoreFaults]
	config    WeightStoreConfig
	catalogue catalogue
	limit     *bucket
	mu        sync.Mutex
	models    int // in flight
	adapters  int
	counts    WeightStoreCounts
}

// NewWeightStore returns a WeightStore for the configured checkpoints.
func NewWeightStore(c WeightStoreConfig) *WeightStore {
	w := &WeightStore{config: c, catalogue: newCatalogue(c.Catalogue)}
	if c.LoadRate > 0 {
		w.limit = newBucket(c.LoadRate)
	}
	return w
}

// Start begins to listen.
func (w *WeightStore) Start() error { return w.listen(w.config.Address, w.handle) }

// Counts returns the counters.
func (w *WeightStore) Counts() WeightStoreCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

func (w *WeightStore) handle(ctx *fasthttp.RequestCtx) {
	if w.switches.handle(ctx) {
		return
	}
	if string(ctx.Path()) == countsPath {
		answerJSON(ctx, fasthttp.StatusOK, w.Counts())
		return
	}
	p := segments(ctx)
	if w.Faults().Down {
		drop(ctx)
		return
	}
	if len(p) != 3 || p[1] != "weights" {
		answerError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	c, ok := w.catalogue[p[2]]
	if !ok {
		answerError(ctx, fasthttp.StatusNotFound, "no checkpoint %q", p[2])
		return
	}
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(b *bufio.Writer) {
		if !w.transfer(c, b) {
			conn.Close()
		}
	})
}

// transfer sends the checkpoint and reports whether it was sent whole.
func (w *WeightStore) transfer(c Checkpoint, b *bufio.Writer) bool {
	if c.Base == "" && w.limit != nil && !w.pause(w.limit.reserve()) {
		return false
	}
	w.enter(c, 1)
	defer w.enter(c, -1)
	chunk := make([]byte, chunkBytes)
	step := c.remoteTime() / weightChunks
	for range weightChunks {
		if !w.pause(time.Duration(float64(step)*w.factor(c))) || w.Faults().Down {
			return false
		}
		if _, err := b.Write(chunk); err != nil {
			return false
		}
		if b.Flush() != nil {
			return false
		}
	}
	return true
}

func (w *WeightStore) enter(c Checkpoint, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Base != "" {
		w.adapters += n
		w.counts.Adapters += max(n, 0)
		w.counts.MostAdapters = max(w.counts.MostAdapters, w.adapters)
		return
	}
	w.models += n
	w.counts.Models += max(n, 0)
	w.counts.MostModels = max(w.counts.MostModels, w.models)
}

// factor returns how much longer than alone a transfer takes now.
func (w *WeightStore) factor(c Checkpoint) float64 {
	w.mu.Lock()
	f := float64(w.models) / fastLoads
	if c.Base != "" {
		f = float64(w.adapters) / fastAdapters
	}
	w.mu.Unlock()
	f = max(f, 1)
	if slow := w.Faults().Slow; slow > 0 {
		f *= slow
	}
	return f
}
