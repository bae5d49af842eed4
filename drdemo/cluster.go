package drdemo

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

const (
	// readyTimeout limits how long NewCluster waits until all entry VMs are ready
	// and have applied the declarations.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the pause between two status queries of an entry VM.
	readyPollInterval = 20 * time.Millisecond
	// loopbackIP is the IP address of all VMs.
	loopbackIP = "127.0.0.1"
)

// ClusterConfig configures a Cluster. Deployment, Platform, EntryVMs (the number of
// VMs to start) and Clock are required.
type ClusterConfig struct {
	Deployment Deployment
	Platform   *Platform
	EntryVMs   int
	Clock      drclock.Clock
	Version    string
	Policies   drserve.Policies
	// DrainNotice is the time between reporting not ready and closing the
	// listeners. It can be short, as there is no load balancer that must notice.
	DrainNotice time.Duration
	// Cut, if not nil, simulates network faults: while it returns true, nothing
	// is sent from one entry VM to the other. The opposite direction is cut
	// separately.
	Cut func(from, to string) bool
	// Relay, if not nil, returns the address of a relay to use instead of
	// address, for example to count bytes. Kind is "log", "vm-list" or, for the
	// peer address of an entry VM, "peers".
	Relay func(kind, address string) string
	// TLS names the certificate files of the entry VMs; the zero value means
	// unencrypted listeners. With TLS, AdminTLS must be the configuration of the
	// operator's client.
	TLS      drsettings.TLS
	AdminTLS *tls.Config
	// Adjust, if not nil, may change the settings of each entry VM before it
	// starts.
	Adjust func(*drsettings.Settings)
}

// Cluster runs entry VMs in this process, which communicate over loopback sockets. Add
// and VMs are safe for concurrent use.
type Cluster struct {
	ClusterConfig
	mu           sync.Mutex
	vms          []*drserve.VM
	reservations []*drnet.Reservation // of the VMs' ports
}

// NewCluster starts the entry VMs and applies the deployment's declarations. It returns
// once all VMs are ready and have applied the declarations, and fails after
// readyTimeout. On an error it closes the VMs that it started.
func NewCluster(ctx context.Context, config ClusterConfig) (*Cluster, error) {
	k := &Cluster{ClusterConfig: config}
	for n := range config.EntryVMs {
		if _, err := k.Add(n); err != nil {
			return nil, errors.Join(err, k.Close())
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := k.applyDeclarations(ctx); err != nil {
		return nil, errors.Join(err, k.Close())
	}
	return k, nil
}

// Add starts an entry VM and adds it to the VM list. The index, from 0, determines its
// name (index 0 is PREFIX-1) and its availability zone.
func (k *Cluster) Add(index int) (*drserve.VM, error) {
	v, err := k.startVM(index)
	if err != nil {
		return nil, err
	}
	k.mu.Lock()
	k.vms = append(k.vms, v)
	k.mu.Unlock()
	s := v.Settings
	return v, k.Platform.AddEntry(s.VM, s.Zone, k.relayedAddress("peers", s.Addresses.Peers))
}

func (k *Cluster) startVM(index int) (*drserve.VM, error) {
	s, err := k.vmSettings(index)
	if err != nil {
		return nil, err
	}
	v, err := drserve.New(drserve.Config{
		Settings: s, Clock: k.Clock, Version: k.Version, Incarnation: uint64(time.Now().UnixNano()), Policies: k.Policies,
		Block: func(to string) bool { return k.Cut != nil && k.Cut(s.VM, to) },
	})
	if err != nil {
		return nil, err
	}
	return v, v.Start()
}

func (k *Cluster) relayedAddress(kind, address string) string {
	if k.Relay == nil {
		return address
	}
	return k.Relay(kind, address)
}

// VMs returns a copy of the list of entry VMs, in the order in which they were added.
func (k *Cluster) VMs() []*drserve.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*drserve.VM(nil), k.vms...)
}

// vmSettings returns the settings of the entry VM with the given index, with newly
// reserved ports.
func (k *Cluster) vmSettings(index int) (drsettings.Settings, error) {
	s := drsettings.Default()
	var err error
	if s.Addresses, err = k.reserveAddresses(); err != nil {
		return s, err
	}
	d := k.Deployment
	s.VM, s.Zone = fmt.Sprintf("%s-%d", d.EntryPrefix, index+1), d.zone(index)
	s.LogAddress, s.VMListAddress = k.relayedAddress("log", k.Platform.Log.Address()), k.relayedAddress("vm-list", k.Platform.List.Address())
	s.Secret = drsettings.Secret{Value: d.Secret}
	s.OperatorTokens = []drsettings.OperatorToken{{Name: "demo", Token: drsettings.Secret{Value: d.Operator}}}
	if s.TLS = k.TLS; s.TLS == (drsettings.TLS{}) {
		s.TLS.Plain = true
	}
	s.DrainNotice = drconfig.Duration(k.DrainNotice)
	s.WeightStoreLoads = d.LoadsPerSecond
	if k.Adjust != nil {
		k.Adjust(&s)
	}
	return s, nil
}

// reserveAddresses reserves three loopback addresses until the cluster is closed.
func (k *Cluster) reserveAddresses() (drsettings.Addresses, error) {
	var reserved [3]string
	for i := range reserved {
		r, err := drnet.Reserve(loopbackIP)
		if err != nil {
			return drsettings.Addresses{}, err
		}
		k.mu.Lock()
		k.reservations = append(k.reservations, r)
		k.mu.Unlock()
		reserved[i] = r.Address()
	}
	return drsettings.Addresses{Callers: reserved[0], Peers: reserved[1], Admin: reserved[2]}, nil
}

// Admin returns a client of the admin server of vm with the deployment's operator
// token. It uses TLS if AdminTLS is set.
func (k *Cluster) Admin(vm *drserve.VM) *dradmin.Client {
	if k.AdminTLS != nil {
		return dradmin.NewTLSClient("https://"+vm.AdminAddress(), k.Deployment.Operator, k.AdminTLS)
	}
	return dradmin.NewClient("http://"+vm.AdminAddress(), k.Deployment.Operator)
}

// applyDeclarations submits the deployment's declarations to the first entry VM and
// waits until all entry VMs have applied them.
func (k *Cluster) applyDeclarations(ctx context.Context) error {
	objects, err := k.Deployment.Objects()
	if err != nil {
		return err
	}
	change := dradmin.Change{ID: "demo-" + k.Deployment.Name}
	for _, o := range objects {
		r := o.Ref()
		change.Puts = append(change.Puts, dradmin.ObjectDocument{
			ObjectName: dradmin.ObjectName{Kind: string(r.Kind), Name: r.Name}, Object: drconfig.EncodeObject(o),
		})
	}
	admin := k.Admin(k.VMs()[0])
	res, err := admin.Submit(ctx, change)
	if err != nil {
		return err
	}
	if !res.Accepted {
		return fmt.Errorf("entry VM rejected the declarations: %v", res.Problems)
	}
	return k.WaitInForce(ctx, res.Offset)
}

// WaitInForce waits until every entry VM is ready and has applied the
// configuration at offset, or until ctx ends, which is an error.
func (k *Cluster) WaitInForce(ctx context.Context, offset uint64) error {
	for _, v := range k.VMs() {
		for {
			status, err := k.Admin(v).Status(ctx)
			if err == nil && status.Ready && status.ConfigOffset >= offset {
				break
			}
			if sleepErr := k.Clock.Sleep(ctx, readyPollInterval); sleepErr != nil {
				return fmt.Errorf("%s is not ready: %s (%w)", v.Settings.VM, status.Reason, errors.Join(err, sleepErr))
			}
		}
	}
	return nil
}

// Drain drains all entry VMs concurrently and returns their errors, joined. If ctx ends
// first, running requests are cut.
func (k *Cluster) Drain(ctx context.Context) error {
	var mu sync.Mutex
	var errs []error
	var running sync.WaitGroup
	for _, v := range k.VMs() {
		running.Go(func() {
			err := v.Drain(ctx)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	running.Wait()
	return errors.Join(errs...)
}

// Close stops all entry VMs without draining them, so running requests fail.
func (k *Cluster) Close() error {
	var errs []error
	for _, v := range k.VMs() {
		errs = append(errs, v.Close())
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.reservations {
		errs = append(errs, r.Close())
	}
	k.reservations = nil
	return errors.Join(errs...)
}
