package drdemo

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

const (
	// readyTimeout bounds the start of a cluster.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	freePortAddress   = "127.0.0.1:0"
	// startAttempts bounds the search for ports that stay free between the
	// probe and the real listener, when clusters start at the same time.
	startAttempts = 5
)

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	Deployment Deployment
	Platform   *Platform
	EntryVMs   int
	Clock      drclock.Clock
	Version    string
	Policies   drserve.Policies
	// DrainNotice is short in a demonstration, which has no balancer.
	DrainNotice time.Duration
	// Cut, if not nil, cuts the direction between two entry VMs while it
	// returns true.
	Cut func(from, to string) bool
	// Relay, if not nil, returns the address to use instead of an address of
	// the log ("log"), the VM list ("vm-list") or an entry VM ("peers"), so
	// that a relay in between can count bytes.
	Relay func(kind, address string) string
	// TLS names the certificate of the entry VMs; zero means plain. AdminTLS
	// is then the operator's configuration.
	TLS      drsettings.TLS
	AdminTLS *tls.Config
	// Adjust, if not nil, changes the settings of an entry VM before it starts.
	Adjust func(*drsettings.Settings)
}

// Cluster is a number of entry VMs in this process, connected by sockets.
type Cluster struct {
	ClusterConfig
	mu  sync.Mutex
	vms []*drserve.VM
}

// NewCluster starts entry VMs and applies the deployment's declarations. It
// returns once all are ready and the declarations are in force everywhere.
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

// Add starts the entry VM with the given number and shows it in the VM list.
func (k *Cluster) Add(index int) (*drserve.VM, error) {
	v, err := k.startVM(index)
	for i := 1; i < startAttempts && errors.Is(err, syscall.EADDRINUSE); i++ {
		v, err = k.startVM(index)
	}
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

// VMs returns the entry VMs in the order in which they were added.
func (k *Cluster) VMs() []*drserve.VM {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*drserve.VM(nil), k.vms...)
}

func (k *Cluster) vmSettings(index int) (drsettings.Settings, error) {
	s := drsettings.Default()
	var err error
	if s.Addresses, err = freeAddresses(); err != nil {
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

// freeAddresses returns three addresses of 127.0.0.1 with ports that were free
// a moment ago.
func freeAddresses() (drsettings.Addresses, error) {
	var found [3]string
	for i := range found {
		l, err := net.Listen("tcp", freePortAddress)
		if err != nil {
			return drsettings.Addresses{}, err
		}
		defer l.Close()
		found[i] = l.Addr().String()
	}
	return drsettings.Addresses{Callers: found[0], Peers: found[1], Admin: found[2]}, nil
}

// Admin returns a client of the admin server of one entry VM.
func (k *Cluster) Admin(vm *drserve.VM) *dradmin.Client {
	if k.AdminTLS != nil {
		return dradmin.NewTLSClient("https://"+vm.AdminAddress(), k.Deployment.Operator, k.AdminTLS)
	}
	return dradmin.NewClient("http://"+vm.AdminAddress(), k.Deployment.Operator)
}

// applyDeclarations applies the declarations and waits until they are in force.
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
		return fmt.Errorf("declarations rejected: %v", res.Problems)
	}
	return k.WaitInForce(ctx, res.Offset)
}

// WaitInForce waits until every entry VM is ready and has applied the
// configuration at offset.
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

// Drain drains all entry VMs at the same time.
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

// Close stops all entry VMs at once.
func (k *Cluster) Close() error {
	var errs []error
	for _, v := range k.VMs() {
		errs = append(errs, v.Close())
	}
	return errors.Join(errs...)
}
