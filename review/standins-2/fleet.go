package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// edge is one entry VM, a process of the project that run.sh starts.
type edge struct {
	name                     string
	callers, readiness       string
	peers, advertised, store string
	metrics                  string
	processor                float64
}

// fleet is the store and the entry VMs of a case.
type fleet struct {
	dir    string
	record *record
	store  *store
	// storeAddress is where the store listens.
	storeAddress string
	edges        []*edge
	mu           sync.Mutex
	killedAt     map[int]time.Time
}

// Ports of entry VMs are taken from below those that the kernel gives to connections, so that
// they stay free until the processes listen.
const (
	firstPort    = 12000
	portCount    = 16000
	portAttempts = 100
)

// freeAddress returns a loopback address with a port that is free now and was not returned before.
func freeAddress(taken map[string]bool) (string, error) {
	for range portAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if taken[address] {
			_ = listener.Close()
			continue
		}
		taken[address] = true
		return address, listener.Close()
	}
	return "", errors.New("no free port was found")
}

// newFleet starts the store and prepares count entry VMs.
func newFleet(dir string, rec *record, count int) (*fleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: rec, store: newStore(), storeAddress: listener.Addr().String(), killedAt: make(map[int]time.Time)}
	go func() { _ = http.Serve(listener, f.store.handler()) }()
	taken := make(map[string]bool)
	for i := range count {
		e := &edge{name: fmt.Sprintf("front-zone-a-%d", i+1), store: f.storeAddress, processor: 0.272}
		for _, address := range []*string{&e.callers, &e.readiness, &e.peers, &e.metrics} {
			if *address, err = freeAddress(taken); err != nil {
				return nil, err
			}
		}
		f.edges = append(f.edges, e)
	}
	return f, nil
}

// start writes the settings, lets run.sh start the processes and waits until all are ready.
func (f *fleet) start() error {
	for i, e := range f.edges {
		if err := f.writeSettings(i, e); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(f.dir, "ready"), nil, 0o600); err != nil {
		return err
	}
	deadline := time.Now().Add(startTimeout)
	for i, e := range f.edges {
		for !isReady(e) {
			if time.Now().After(deadline) {
				return fmt.Errorf("edge %d is not ready", i)
			}
			time.Sleep(pollInterval)
		}
	}
	f.record.add("all entry VMs are ready")
	return nil
}

func isReady(e *edge) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + e.readiness + "/dotterelridge/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeSettings writes the settings of an entry VM as deploy/settings.json.tmpl renders them
// from the bounds of the site.
func (f *fleet) writeSettings(i int, e *edge) error {
	settings, err := json.MarshalIndent(map[string]any{
		"vm": e.name, "zone": "zone-a", "regions": map[string]string{"zone-a": "region-a"},
		"addresses": map[string]string{
			"callers": e.callers, "readiness": e.readiness, "peers": e.peers, "peers-advertised": e.advertised, "metrics": e.metrics,
		},
		"store-address": e.store, "descriptor-limit": 2870, "processor-share": e.processor, "revocation": "5000ms",
		"config-propagation": "2000ms", "runner-drain": "2000ms", "runner-heartbeat": "1200ms", "grace-period": "8s",
		"quota-slack": 110000, "retry-budget": map[string]any{"share": 0.2, "extra": 129, "window": "10s"}, "order-pause": "3000ms",
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(f.dir, fmt.Sprintf("edge-%d.json", i)), settings, 0o600)
}

// callers returns the addresses at which the entry VMs take requests.
func (f *fleet) callers() []string {
	var addresses []string
	for _, e := range f.edges {
		addresses = append(addresses, e.callers)
	}
	return addresses
}

// kill ends an entry VM at once.
func (f *fleet) kill(i int) error {
	f.record.add("entry VM %d is killed", i)
	f.mu.Lock()
	f.killedAt[i] = time.Now()
	f.mu.Unlock()
	return f.signal(i, syscall.SIGKILL)
}

// signal sends a signal to an entry VM.
func (f *fleet) signal(i int, s syscall.Signal) error {
	content, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("edge-%d.pid", i)))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil {
		return err
	}
	if pid <= 1 {
		return errors.New("no process id")
	}
	return syscall.Kill(pid, s)
}

// configure writes the configuration: one plain service whose streams may be resumed.
func (f *fleet) configure(service, path, key string) error {
	return f.configureRoute(service, path, key, 13*time.Second, 2*time.Second, nil)
}

// configureRoute writes the configuration: one service, with an engine if it is not nil, whose
// streams may be resumed.
func (f *fleet) configureRoute(service, path, key string, timeout, target time.Duration, engine map[string]any) error {
	services := map[string]any{"name": service, "health_path": "/health", "connection_limit": 822, "protocol": "h1", "tls": false}
	if engine != nil {
		services["engine"] = engine
	}
	config, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "watch", "host": "app.example", "path_prefix": path, "kind": "streaming", "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": target.Milliseconds(), "priority": 0, "service": service, "attempts": 2, "anonymous": false,
			"session_affinity": false, "resumable": true, "gap_aim_ms": 600,
		}},
		"services": []any{services},
		"tenants":  []any{map[string]any{"name": "tenant-a", "api_keys": []string{key}, "priority": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	f.store.put("keyed.op", "config", config)
	return nil
}

// goneAt reports whether an entry VM had been killed by a time.
func (f *fleet) goneAt(i int, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	killedAt, killed := f.killedAt[i]
	return killed && !at.Before(killedAt)
}
