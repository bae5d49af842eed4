// Package drfleet holds the types that describe a fleet: the deployment that
// operators configure, the runners that serve it, and the calls of clients.
// Values are immutable once they are built.
package drfleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits bound what a client may send, and how long it may take.
type Limits struct {
	MaxHeader     int // bytes
	MaxBody       int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config holds the parts of a Deployment.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Deployment is one version of the configuration.
type Deployment struct {
	Config
	services map[string]*Service
	accounts map[string]*Account // by key
	hosts    map[string][]*Route // longest prefix first
}

// NewDeployment indexes a configuration. It returns an error if a route has no
// target or names a service that does not exist.
func NewDeployment(c Config) (*Deployment, error) {
	d := &Deployment{
		Config: c, services: make(map[string]*Service, len(c.Services)),
		accounts: make(map[string]*Account), hosts: make(map[string][]*Route),
	}
	for i := range c.Services {
		d.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			d.accounts[k] = &c.Accounts[i]
		}
	}
	for i := range c.Routes {
		if err := d.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, rs := range d.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return d, nil
}

func (d *Deployment) addRoute(r *Route) error {
	if len(r.Targets) == 0 {
		return fmt.Errorf("route %q has no service", r.Name)
	}
	for _, t := range r.Targets {
		if d.services[t.Service] == nil {
			return fmt.Errorf("route %q: service %q does not exist", r.Name, t.Service)
		}
	}
	d.hosts[strings.ToLower(r.Host)] = append(d.hosts[strings.ToLower(r.Host)], r)
	return nil
}

// Route returns the route with the longest prefix that begins path, nil if
// there is none. The port of the host is ignored.
func (d *Deployment) Route(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range d.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (d *Deployment) Service(name string) *Service { return d.services[name] }

// Account returns the client account that holds key, nil if there is none.
func (d *Deployment) Account(key string) *Account { return d.accounts[key] }

// RequiresKeys reports whether requests need a key: once any client account
// is configured.
func (d *Deployment) RequiresKeys() bool { return len(d.Accounts) > 0 }
