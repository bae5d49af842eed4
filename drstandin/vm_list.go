package drstandin

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// VM is an entry of the platform's list of virtual machines.
type VM struct {
	ID      string `json:"id"`
	Role    string `json:"role"` // entry or backend
	Fleet   string `json:"fleet,omitempty"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"` // live or leaving
}

// VMChange is the body of POST /v1/vms.
type VMChange struct {
	Op string `json:"op"` // add, remove or leaving
	VM VM     `json:"vm"`
}

// VMListConfig configures a VMList.
type VMListConfig struct {
	// Address is the host:port to listen on; if empty, the system chooses a port
	// on 127.0.0.1.
	Address string
	// VMs are the entries at the start. An empty State means "live".
	VMs []VM
	// Lag is the time until a change is visible in the list.
	Lag time.Duration
}

// VMListFaults are the faults that a VMList simulates.
type VMListFaults struct {
	// Down closes the connection of every request without a response.
	Down bool `json:"down"`
}

// VMList simulates the platform's list of virtual machines. It is safe for concurrent
// use.
type VMList struct {
	server
	faultSettings[VMListFaults]
	config  VMListConfig
	mu      sync.Mutex
	version uint64
	vms     map[string]VM
	pending []pendingChange // in the order of visibleAt
}

// pendingChange is a change that the list shows from visibleAt on.
type pendingChange struct {
	visibleAt time.Time
	VMChange
}

// NewVMList returns a VMList with the configured entries, visible without a lag.
// Start makes it reachable.
func NewVMList(c VMListConfig) *VMList {
	l := &VMList{config: c, version: 1, vms: make(map[string]VM)}
	for _, v := range c.VMs {
		if v.State == "" {
			v.State = "live"
		}
		l.vms[v.ID] = v
	}
	return l
}

// Start listens on the configured address and serves requests until Close.
func (l *VMList) Start() error { return l.listen(l.config.Address, l.handle) }

// Change makes a change that is visible after the lag. It returns an error if Op is
// unknown.
func (l *VMList) Change(c VMChange) error {
	switch c.Op {
	case "add", "remove", "leaving":
	default:
		return fmt.Errorf("unknown operation %q in the VM change", c.Op)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, pendingChange{time.Now().Add(l.config.Lag), c})
	return nil
}

// applyDueChanges applies the changes whose lag has passed. l.mu must be held.
func (l *VMList) applyDueChanges() {
	now := time.Now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		switch c.Op {
		case "add":
			if c.VM.State == "" {
				c.VM.State = "live"
			}
			l.vms[c.VM.ID] = c.VM
		case "remove":
			delete(l.vms, c.VM.ID)
		case "leaving":
			if v, ok := l.vms[c.VM.ID]; ok {
				v.State = "leaving"
				l.vms[c.VM.ID] = v
			}
		}
		l.version++
	}
}

func (l *VMList) handle(ctx *fasthttp.RequestCtx) {
	switch {
	case l.faultSettings.handle(ctx):
	case l.Faults().Down:
		dropConn(ctx)
	case string(ctx.Path()) != "/v1/vms":
		respondError(ctx, fasthttp.StatusNotFound, "the VM list has no such path")
	case ctx.IsPost():
		var c VMChange
		err := json.Unmarshal(ctx.PostBody(), &c)
		if err == nil {
			err = l.Change(c)
		}
		if err != nil {
			respondError(ctx, fasthttp.StatusBadRequest, "%v", err)
			return
		}
		ctx.SetStatusCode(fasthttp.StatusAccepted)
	default:
		l.handleList(ctx)
	}
}

// handleList returns the list, or status 304 if the client names its version.
func (l *VMList) handleList(ctx *fasthttp.RequestCtx) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDueChanges()
	if uintArg(ctx, "version", 0) == l.version {
		ctx.SetStatusCode(fasthttp.StatusNotModified)
		return
	}
	vms := make([]VM, 0, len(l.vms))
	for _, v := range l.vms {
		vms = append(vms, v)
	}
	slices.SortFunc(vms, func(a, b VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	respondJSON(ctx, fasthttp.StatusOK, map[string]any{"version": l.version, "vms": vms})
}
