package drserve

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drgateway"
)

// directory looks up keys, models and routes for the gateway in the current
// configuration.
type directory struct {
	config *drconfig.Fold
	secret []byte

	mu sync.Mutex
	// watches holds the keys, by id, that have authenticated a request and are
	// still valid.
	watches map[string]*keyWatch
}

// keyWatch notifies the requests of a key by closing withdrawn when the key is
// withdrawn.
type keyWatch struct {
	key       drconfig.Key
	withdrawn chan struct{}
}

func newDirectory(config *drconfig.Fold, secret []byte) *directory {
	d := &directory{config: config, secret: secret, watches: make(map[string]*keyWatch)}
	config.OnChange(d.closeWithdrawn)
	return d
}

// Authenticate implements drgateway.Directory.
func (d *directory) Authenticate(key string) (drgateway.Identity, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The key is looked up under the lock, so that a withdrawal that is applied
	// at the same time closes the channel that is returned.
	found, ok := d.config.Current().Authenticate(key, d.secret)
	if !ok {
		return drgateway.Identity{}, drerror.New(drerror.NotRun, drerror.InvalidKey, "the key is unknown or was withdrawn")
	}
	watch := d.watches[found.ID]
	if watch == nil || watch.key.Hash != found.Hash || watch.key.Account != found.Account {
		watch = &keyWatch{key: found, withdrawn: make(chan struct{})}
		d.watches[found.ID] = watch
	}
	return drgateway.Identity{Account: found.Account, Withdrawn: watch.withdrawn}, nil
}

// closeWithdrawn closes the channels of keys that were deleted, got a new hash or
// belong to another client account. It runs after each configuration change.
func (d *directory) closeWithdrawn(_, after drconfig.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.watches {
		k, ok := after.Key(id)
		if !ok || k.Hash != w.key.Hash || k.Account != w.key.Account {
			close(w.withdrawn)
			delete(d.watches, id)
		}
	}
}

// Model implements drgateway.Directory.
func (d *directory) Model(account, name string) (drgateway.Model, error) {
	c := d.config.Current()
	entry, ok := c.Allowed(account, name)
	if !ok {
		_, isModel := c.Model(name)
		_, isAdapter := c.Adapter(name)
		if isModel || isAdapter {
			return drgateway.Model{}, drerror.New(drerror.NotRun, drerror.NotAllowed, "the client account may not use model %q", name)
		}
		return drgateway.Model{}, drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q does not exist", name)
	}
	m, ok := c.Model(entry.Model)
	if !ok {
		return drgateway.Model{}, drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q does not exist", entry.Model)
	}
	return drgateway.Model{
		Model: entry.Model, Adapter: entry.Adapter,
		DefaultMaxTokens: m.DefaultMaxTokens, MaxTokens: m.MaxTokens, Priority: entry.Priority,
	}, nil
}

// Models implements drgateway.Directory.
func (d *directory) Models(account string) []string { return d.config.Current().ModelsFor(account) }

// Route implements drgateway.Directory.
func (d *directory) Route(path string) (drconfig.Route, error) {
	r, ok := d.config.Current().Route(path)
	if !ok {
		return r, drerror.New(drerror.NotRun, drerror.UnknownRoute, "no route matches this path")
	}
	return r, nil
}

// MayUse implements drgateway.Directory.
func (d *directory) MayUse(account string, route drconfig.Route) bool {
	a, ok := d.config.Current().Account(account)
	return ok && a.Labels.Contains(route.Accounts)
}
