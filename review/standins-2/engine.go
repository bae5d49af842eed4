package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// modelSize and weightMemory let a runner hold one model.
	modelSize    = 72700.0
	weightMemory = 80000.0
	storeLoad    = 6 * time.Second
	diskLoad     = 520 * time.Millisecond
	memoryLoad   = 400 * time.Millisecond
)

// engine is what a runner of models holds, and how it carries out orders.
type engine struct {
	mu     sync.Mutex
	models []string
	// copies are the models of which it has local copies.
	copies   []string
	busy     bool
	accepted int
	fence    uint64
}

func newEngine(models ...string) *engine {
	return &engine{models: models, copies: slices.Clone(models)}
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expect    *int   `json:"expect"`
	Holder    string `json:"holder"`
	Fence     uint64 `json:"fencing_token"`
}

// describe returns the members that entries and reports have in common.
func (e *engine) describe() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := []any{}
	for _, m := range e.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return map[string]any{"models": models, "at_hand": map[string]any{"in_memory": e.copies, "on_disk": e.copies}, "stage": "combined"}
}

func (e *engine) holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.models, model)
}

// serveReport answers a request for the runner's state.
func (r *runner) serveReport(w http.ResponseWriter) {
	report := r.engine.describe()
	r.engine.mu.Lock()
	report["busy"], report["sequence"], report["born"] = r.engine.busy, r.engine.accepted, r.born
	r.engine.mu.Unlock()
	report["waiting_requests"], report["running_requests"], report["kv_used"], report["kv_total"], report["handles"] = 0, 0, 0, 232000, 0
	writeJSON(w, http.StatusOK, report)
}

// serveOrder carries out an order.
func (r *runner) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o order
	if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := r.engine.apply(o, r.writeEntry)
	r.record.add("runner %s gets the order %s %s of %s: %d", r.id, o.Operation, o.Model, o.Holder, status)
	w.WriteHeader(status)
}

// apply carries out an order and returns its status. changed is called when the models have.
func (e *engine) apply(o order, changed func()) (status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := slices.Contains(e.models, o.Model)
	switch {
	case o.Fence < e.fence:
		return http.StatusPreconditionFailed
	case e.busy, o.Expect != nil && *o.Expect != e.accepted:
		return http.StatusConflict
	case o.Adapter != "":
		return http.StatusBadRequest
	case o.Operation == "load" && held:
		return http.StatusOK
	}
	e.fence = o.Fence
	e.accepted++
	if o.Operation == "unload" {
		e.models = slices.DeleteFunc(slices.Clone(e.models), func(m string) bool { return m == o.Model })
		go changed()
		return http.StatusAccepted
	}
	e.busy = true
	took := storeLoad
	if slices.Contains(e.copies, o.Model) {
		took = diskLoad
	}
	time.AfterFunc(took, func() {
		e.mu.Lock()
		e.busy, e.models = false, append(slices.Clone(e.models), o.Model)
		if !slices.Contains(e.copies, o.Model) {
			e.copies = append(slices.Clone(e.copies), o.Model)
		}
		e.mu.Unlock()
		changed()
	})
	return http.StatusAccepted
}

// engineConfig is the engine of a service in the configuration.
func engineConfig(models []string) map[string]any {
	list := []any{}
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m, "weights_mb": modelSize, "load_time_s": storeLoad.Seconds(), "adapters": 0, "adapter_mb": 66.0,
			"warm_s": memoryLoad.Seconds(), "disk_s": diskLoad.Seconds(),
		})
	}
	return map[string]any{"slots": 64, "kv_tokens": 232000, "weights_mb": weightMemory, "adapter_slots": 8, "loads_per_s": 7.7, "models": list}
}
