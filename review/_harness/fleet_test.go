package harness_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	// errNotReady means that a VM did not become ready, so that the case could not run.
	errNotReady = errors.New("a VM does not become ready")
	// errEnded means that the run has ended, so that no process may be started.
	errEnded = errors.New("the run has ended")
)

// listen listens on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

// vmHost is the loopback address of the VMs of this run. Nobody else listens on it or
// connects from it, so that a port that was free stays so until the VM takes it.
var vmHost = fmt.Sprintf("127.%d.%d.%d", 1+rand.N(250), rand.N(250), 1+rand.N(250))

// chosen holds the addresses that freeAddress has returned: until their VM listens, the
// kernel may offer their ports again.
var chosen = make(map[string]bool)

// freeAddress returns an address of vmHost that nothing listens on, each time another
// one. It is called from one goroutine.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", vmHost+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		if !chosen[address] {
			chosen[address] = true
			return address, nil
		}
	}
}

// record writes the record of a run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fleet is a number of VMs with stand-ins of the platform.
type fleet struct {
	log    *record
	store  *store
	folder string // for settings and logs
	vms    []*vm
}

// vm is a machine of the system: a process of the deploy file's role edge.
type vm struct {
	name, callers, readiness string
	settings                 string
	entrance                 *entrance
	out                      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool // no process may be started any more
}

func newFleet(log *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{log: log, store: newStore(), folder: folder}, nil
}

// close ends all processes and removes the folder, except with KEEP=1.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.mu.Lock()
		v.ended = true
		v.mu.Unlock()
		v.kill()
		_ = v.out.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// addVM writes the settings of a VM, as deploy/settings.json.tmpl renders them for a
// small deployment, and starts its process.
func (f *fleet) addVM(name string) (*vm, error) {
	addresses := make(map[string]string)
	for _, listener := range []string{"callers", "readiness", "peers", "metrics"} {
		var err error
		if addresses[listener], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	v := &vm{name: name, callers: addresses["callers"], readiness: addresses["readiness"], entrance: f.store.open(name)}
	settings, err := json.Marshal(map[string]any{
		"vm": name, "zone": "z1",
		"addresses":     addresses,
		"store-address": v.entrance.address, "descriptor-limit": 2870, "processor-share": 0.272, "revocation": "5000ms",
		"config-propagation": "2000ms", "runner-drain": "2000ms", "grace-period": "8s", "quota-slack": 110000,
		"retry-budget": map[string]any{"share": 0.2, "extra": 129, "window": "10s"}, "order-pause": "3000ms",
	})
	if err != nil {
		return nil, err
	}
	v.settings = filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(v.settings, settings, 0o600); err != nil {
		return nil, err
	}
	if v.out, err = os.Create(filepath.Join(f.folder, name+".log")); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	return v, v.start()
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.ended {
		return errEnded
	}
	cmd := exec.Command("target/dotterelridge", "edge", "-settings", v.settings)
	cmd.Stdout, cmd.Stderr = v.out, v.out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits until it has ended.
func (v *vm) kill() {
	v.signal(syscall.SIGCONT)
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready reports whether the VM answers the platform's readiness check with 200.
func (v *vm) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.readiness + "/dotterelridge/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts VMs and waits until all are ready and have been so for a while.
func (f *fleet) start(names ...string) error {
	for _, name := range names {
		if _, err := f.addVM(name); err != nil {
			return err
		}
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond) // stable_window_ms, so that all are in touch
	f.log.printf("%d VMs are ready; %s was the last to write to the store under a condition", len(f.vms), f.store.leader())
	return nil
}

// awaitReady waits until all VMs are ready.
func (f *fleet) awaitReady() error {
	for _, v := range f.vms {
		end := time.Now().Add(20 * time.Second)
		for !v.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errNotReady, v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// rareModels is the number of models that are asked for rarely.
const rareModels = 12

// rareModel returns the name of a model that is asked for rarely.
func rareModel(i int) string { return fmt.Sprintf("m-rare-%d", i) }

// modelNames returns the names of all models.
func modelNames() []string {
	names := []string{"m-busy"}
	for i := range rareModels {
		names = append(names, rareModel(i))
	}
	return names
}

// putConfig writes the configuration, as the operator does.
func (f *fleet) putConfig(version int, keys ...string) {
	models := []map[string]any{}
	for _, m := range modelNames() {
		models = append(models, map[string]any{"name": m, "weights_mb": 72700.0, "load_time_s": 6.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.4, "disk_s": 0.52})
	}
	route := func(name, kind, service string, timeout, objective, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": objective, "priority": 0, "service": service, "attempts": attempts, "anonymous": false,
			"resumable": resumable, "gap_aim_ms": 600,
		}
	}
	config, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("chat", "streaming", "llm", 6000, 500, 2, true), route("draft", "streaming", "llm", 13000, 2000, 1, false),
			route("buy", "unsafe", "app", 3000, 300, 1, false), route("status", "safe", "app", 3000, 300, 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "connection_limit": 822, "engine": map[string]any{
				"slots": 64, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 7.7, "models": models,
			}},
			map[string]any{"name": "app", "health_path": "/health", "connection_limit": 244},
		},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": keys}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.store.put("keyed.op", "config", config)
	f.log.printf("the store has acknowledged configuration %d with %d keys", version, len(keys))
}
