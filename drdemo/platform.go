package drdemo

import (
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// Platform holds the running stand-ins of the systems that entry VMs depend on: the
// log, the VM list, the weight store, and the backend servers (engines and services).
type Platform struct {
	Log      *drstandin.Log
	List     *drstandin.VMList
	Store    *drstandin.WeightStore
	Engines  []*drstandin.Engine
	Services []*drstandin.Service
}

// PlatformConfig configures a Platform. Only Deployment is required.
type PlatformConfig struct {
	Deployment Deployment
	// LogAddress and ListAddress are the listen addresses of the log and the VM
	// list. If empty, a free port of 127.0.0.1 is used.
	LogAddress, ListAddress string
	// TokenInterval is the time between two tokens of an engine, 0 for the
	// stand-in's default.
	TokenInterval time.Duration
	// EngineMemory is the memory of each engine in bytes, 0 for the stand-in's
	// default. With little memory, loads evict other models.
	EngineMemory int64
	// Poison is a text that crashes an engine if a prompt contains it. If empty,
	// no prompt crashes an engine.
	Poison string
	// ListLag is the delay after which the VM list shows a change.
	ListLag time.Duration
	// Retention is how long the log keeps records; 0 means forever.
	Retention time.Duration
}

// NewPlatform starts the stand-ins. On success the caller must call Close.
func NewPlatform(config PlatformConfig) (*Platform, error) {
	objects, err := config.Deployment.Objects()
	if err != nil {
		return nil, err
	}
	catalogue := newCatalogue(objects)
	p := &Platform{
		Log:   drstandin.NewLog(drstandin.LogConfig{Address: config.LogAddress, RetainAge: config.Retention}),
		Store: drstandin.NewWeightStore(drstandin.WeightStoreConfig{Catalogue: catalogue, LoadRate: config.Deployment.LoadsPerSecond}),
	}
	if err := p.Log.Start(); err != nil {
		return nil, fmt.Errorf("start stand-in log: %w", err)
	}
	if err := p.Store.Start(); err != nil {
		return nil, fmt.Errorf("start stand-in weight store: %w", err)
	}
	var vms []drstandin.VM
	for n := range config.Deployment.Runners {
		e := drstandin.NewEngine(p.engineConfig(config, catalogue, n))
		if err := e.Start(); err != nil {
			return nil, fmt.Errorf("start stand-in engine %d: %w", n, err)
		}
		p.Engines = append(p.Engines, e)
		vms = append(vms, backendVM(config.Deployment, config.Deployment.RunnerFleet, n, e.Address()))
	}
	for n := range config.Deployment.Services {
		s := drstandin.NewService(drstandin.ServiceConfig{Name: fmt.Sprintf("%s-%d", config.Deployment.ServiceFleet, n+1)})
		if err := s.Start(); err != nil {
			return nil, fmt.Errorf("start stand-in service %d: %w", n, err)
		}
		p.Services = append(p.Services, s)
		vms = append(vms, backendVM(config.Deployment, config.Deployment.ServiceFleet, n, s.Address()))
	}
	p.List = drstandin.NewVMList(drstandin.VMListConfig{Address: config.ListAddress, VMs: vms, Lag: config.ListLag})
	if err := p.List.Start(); err != nil {
		return nil, fmt.Errorf("start stand-in VM list: %w", err)
	}
	return p, nil
}

// backendVM returns the VM list's entry of a backend server.
func backendVM(deployment Deployment, fleet string, index int, address string) drstandin.VM {
	return drstandin.VM{
		ID: fmt.Sprintf("%s-%d", fleet, index+1), Role: "backend", Fleet: fleet, Zone: deployment.zone(index), Address: address, State: "live",
	}
}

// newCatalogue returns the checkpoints of all declared models and adapters, which the
// weight store offers and the engines can load.
func newCatalogue(objects drconfig.Objects) []drstandin.Checkpoint {
	var checkpoints []drstandin.Checkpoint
	for _, o := range objects {
		switch x := o.(type) {
		case drconfig.Model:
			checkpoints = append(checkpoints, drstandin.Checkpoint{
				Name: x.Name, Bytes: x.Bytes, Remote: drstandin.Duration(RemoteLoad),
				Disk: drstandin.Duration(DiskLoad), Memory: drstandin.Duration(memoryLoad),
			})
		case drconfig.Adapter:
			checkpoints = append(checkpoints, drstandin.Checkpoint{Name: x.Name, Base: x.Base, Bytes: x.Bytes})
		}
	}
	return checkpoints
}

// Each engine starts with every diskCacheStep-th base model in its disk cache, up to
// diskCacheModels, starting from its own index, so that engines hold different models.
const (
	diskCacheStep   = 4
	diskCacheModels = 8
)

func (p *Platform) engineConfig(config PlatformConfig, catalogue []drstandin.Checkpoint, index int) drstandin.EngineConfig {
	engine := drstandin.EngineConfig{
		Name: fmt.Sprintf("%s-%d", config.Deployment.RunnerFleet, index+1), ChecksFence: config.Deployment.ChecksFencing,
		Memory: config.EngineMemory, TokenInterval: config.TokenInterval, Poison: config.Poison, WeightStore: p.Store.Address(), Catalogue: catalogue,
	}
	models := 0
	for _, x := range catalogue {
		if x.Base != "" {
			continue
		}
		if models%diskCacheStep == index%diskCacheStep && len(engine.CachedDisk) < diskCacheModels {
			engine.CachedDisk = append(engine.CachedDisk, x.Name)
		}
		models++
	}
	return engine
}

// AddEntry adds an entry VM to the VM list. The address is the one for its peers.
func (p *Platform) AddEntry(vm, zone, address string) error {
	return p.List.Change(drstandin.VMChange{Op: "add", VM: drstandin.VM{ID: vm, Role: "entry", Zone: zone, Address: address, State: "live"}})
}

// RemoveEntry removes an entry VM from the VM list. The VM itself keeps running.
func (p *Platform) RemoveEntry(vm string) error {
	return p.List.Change(drstandin.VMChange{Op: "remove", VM: drstandin.VM{ID: vm}})
}

// Loads returns how many model loads all engines together have started.
func (p *Platform) Loads() int {
	n := 0
	for _, e := range p.Engines {
		n += e.Counts().Loads
	}
	return n
}

// Close stops all stand-ins. Entry VMs that use them should be closed before.
func (p *Platform) Close() {
	for _, e := range p.Engines {
		e.Close()
	}
	for _, s := range p.Services {
		s.Close()
	}
	if p.List != nil {
		p.List.Close()
	}
	p.Store.Close()
	p.Log.Close()
}
