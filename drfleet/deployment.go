// Package drfleet holds the types that describe a fleet: the deployment that
// operators configure, the runners that serve it, and the calls of clients.
// Values must not be changed once they are built, so that goroutines can share
// them.
package drfleet

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Limits bounds the size of clients' requests and the time that clients may
// take.
type Limits struct {
	MaxHeader     int           // bytes
	MaxBody       int           // bytes
	HeaderTimeout time.Duration // to send a request's header
	IdleTimeout   time.Duration // between two requests of a connection
}

// Config holds the configured parts of a Deployment.
type Config struct {
	Version  int64 // increases with each change
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Deployment is one version of the configuration, indexed for look-ups. It is
// safe for concurrent use.
type Deployment struct {
	Config
	servicesByName map[string]*Service
	accountsByKey  map[string]*Account // by API key
	routesByHost   map[string][]*Route // longest prefix first
}

// NewDeployment indexes a configuration. It returns an error if a route has no
// target or names a service that does not exist.
func NewDeployment(config Config) (*Deployment, error) {
	d := &Deployment{
		Config: config, servicesByName: make(map[string]*Service, len(config.Services)),
		accountsByKey: make(map[string]*Account), routesByHost: make(map[string][]*Route),
	}
	for i := range config.Services {
		d.servicesByName[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Accounts {
		for _, k := range config.Accounts[i].Keys {
			d.accountsByKey[k] = &config.Accounts[i]
		}
	}
	for i := range config.Routes {
		if err := d.addRoute(&config.Routes[i]); err != nil {
			return nil, err
		}
	}
	for _, rs := range d.routesByHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return d, nil
}

// addRoute checks that the route's targets exist and adds it to its host.
func (d *Deployment) addRoute(route *Route) error {
	if len(route.Targets) == 0 {
		return fmt.Errorf("route %q has no target service", route.Name)
	}
	for _, t := range route.Targets {
		if d.servicesByName[t.Service] == nil {
			return fmt.Errorf("route %q: service %q does not exist", route.Name, t.Service)
		}
	}
	d.routesByHost[strings.ToLower(route.Host)] = append(d.routesByHost[strings.ToLower(route.Host)], route)
	return nil
}

// Route returns the route of host with the longest prefix of path, nil if there
// is none. Letter case and the port of the host are ignored.
func (d *Deployment) Route(host, path string) *Route {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range d.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (d *Deployment) Service(name string) *Service { return d.servicesByName[name] }

// Account returns the client account that holds key, nil if there is none.
func (d *Deployment) Account(key string) *Account { return d.accountsByKey[key] }

// RequiresKeys reports whether requests on routes that are not public need a
// key, which is so once any client account is configured.
func (d *Deployment) RequiresKeys() bool { return len(d.Accounts) > 0 }
