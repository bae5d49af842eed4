package drstandin

import (
	"bufio"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// A transfer consists of weightChunks pieces of chunkBytes each, whatever the
	// size of the checkpoint: only its duration matters to engines.
	weightChunks = 16
	chunkBytes   = 256
)

// WeightStoreConfig configures a WeightStore.
type WeightStoreConfig struct {
	// Address is the host:port to listen on; if empty, the system chooses a port
	// on 127.0.0.1.
	Address   string
	Catalogue []Checkpoint
	// LoadRate is the number of model transfers that may start per second; 0 means
	// no limit. Adapters are not limited.
	LoadRate float64
}

// WeightStoreFaults are the faults that a WeightStore simulates. The zero value means
// none.
type WeightStoreFaults struct {
	// Down closes the connections of new requests and of running transfers.
	Down bool `json:"down"`
	// Slow multiplies all transfer times; 0 means 1.
	Slow float64 `json:"slow"`
}

// WeightStoreCounts are the counters of a WeightStore. Models and Adapters count the
// transfers that started.
type WeightStoreCounts struct {
	Models   int `json:"models"`
	Adapters int `json:"adapters"`
	// MostModels and MostAdapters are the highest numbers of concurrent transfers.
	MostModels   int `json:"most-models"`
	MostAdapters int `json:"most-adapters"`
}

// WeightStore simulates the rate-limited weight store, from which engines load
// checkpoints. It is safe for concurrent use.
type WeightStore struct {
	server
	faultSettings[WeightStoreFaults]
	config           WeightStoreConfig
	catalogue        catalogue
	loadLimiter      *tokenBucket
	mu               sync.Mutex
	modelTransfers   int // transfers in progress, as adapterTransfers
	adapterTransfers int
	counts           WeightStoreCounts
}

// NewWeightStore returns a WeightStore that serves the checkpoints of the catalogue.
// Start makes it reachable.
func NewWeightStore(c WeightStoreConfig) *WeightStore {
	w := &WeightStore{config: c, catalogue: newCatalogue(c.Catalogue)}
	if c.LoadRate > 0 {
		w.loadLimiter = newTokenBucket(c.LoadRate)
	}
	return w
}

// Start listens on the configured address and serves requests until Close.
func (w *WeightStore) Start() error { return w.listen(w.config.Address, w.handle) }

// Counts returns a copy of the counters.
func (w *WeightStore) Counts() WeightStoreCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

func (w *WeightStore) handle(ctx *fasthttp.RequestCtx) {
	if w.faultSettings.handle(ctx) {
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
		respondError(ctx, fasthttp.StatusNotFound, "the weight store has no such path")
		return
	}
	c, ok := w.catalogue[path[2]]
	if !ok {
		respondError(ctx, fasthttp.StatusNotFound, "checkpoint %q does not exist in the weight store", path[2])
		return
	}
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(body *bufio.Writer) {
		if !w.sendWeights(c, body) {
			conn.Close()
		}
	})
}

// sendWeights sends a checkpoint and reports whether all of it was sent. A model
// first waits for its turn under LoadRate.
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

// countTransfers counts the start (delta 1) or the end (delta -1) of a transfer.
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

// slowdown returns the factor, at least 1 without faults, by which the concurrent
// transfers and the Slow fault lengthen a transfer at this moment.
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
