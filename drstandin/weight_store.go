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
	faultSettings[WeightStoreFaults]
	config           WeightStoreConfig
	catalogue        catalogue
	loadLimiter      *tokenBucket
	mu               sync.Mutex
	modelTransfers   int // in flight
	adapterTransfers int
	counts           WeightStoreCounts
}

// NewWeightStore returns a WeightStore for the configured checkpoints.
func NewWeightStore(c WeightStoreConfig) *WeightStore {
	w := &WeightStore{config: c, catalogue: newCatalogue(c.Catalogue)}
	if c.LoadRate > 0 {
		w.loadLimiter = newTokenBucket(c.LoadRate)
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
	if w.faultSettings.handleFaults(ctx) {
		return
	}
	if string(ctx.Path()) == countsPath {
		respondJSON(ctx, fasthttp.StatusOK, w.Counts())
		return
	}
	path := pathSegments(ctx)
	if w.Faults().Down {
		dropConn(ctx)
		return
	}
	if len(path) != 3 || path[1] != "weights" {
		respondError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	c, ok := w.catalogue[path[2]]
	if !ok {
		respondError(ctx, fasthttp.StatusNotFound, "no checkpoint %q", path[2])
		return
	}
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(body *bufio.Writer) {
		if !w.sendWeights(c, body) {
			conn.Close()
		}
	})
}

// sendWeights sends the checkpoint and reports whether it was sent whole.
func (w *WeightStore) sendWeights(c Checkpoint, body *bufio.Writer) bool {
	if c.Base == "" && w.loadLimiter != nil && !w.pause(w.loadLimiter.reserve()) {
		return false
	}
	w.countTransfers(c, 1)
	defer w.countTransfers(c, -1)
	chunk := make([]byte, chunkBytes)
	chunkTime := c.remoteLoadTime() / weightChunks
	for range weightChunks {
		if !w.pause(time.Duration(float64(chunkTime)*w.slowdown(c))) || w.Faults().Down {
			return false
		}
		if _, err := body.Write(chunk); err != nil {
			return false
		}
		if body.Flush() != nil {
			return false
		}
	}
	return true
}

func (w *WeightStore) countTransfers(c Checkpoint, delta int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Base != "" {
		w.adapterTransfers += delta
		w.counts.Adapters += max(delta, 0)
		w.counts.MostAdapters = max(w.counts.MostAdapters, w.adapterTransfers)
		return
	}
	w.modelTransfers += delta
	w.counts.Models += max(delta, 0)
	w.counts.MostModels = max(w.counts.MostModels, w.modelTransfers)
}

// slowdown returns how much longer than alone a transfer takes now.
func (w *WeightStore) slowdown(c Checkpoint) float64 {
	w.mu.Lock()
	factor := float64(w.modelTransfers) / fullSpeedModelLoads
	if c.Base != "" {
		factor = float64(w.adapterTransfers) / fullSpeedAdapterLoads
	}
	w.mu.Unlock()
	factor = max(factor, 1)
	if slow := w.Faults().Slow; slow > 0 {
		factor *= slow
	}
	return factor
}
