package drserve

import (
	"sync"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drgateway"
)

// directory answers the gate's questions from the configuration in force.
type directory struct {
	fold   *drconfig.Fold
	secret []byte

	mu sync.Mutex
	// withdrawn holds the channel of each key that requests are using.
	withdrawn map[string]*keyWatch
}

// keyWatch tells the holders of a key that it was withdrawn.
type keyWatch struct {
	key     drconfig.Key
	channel chan struct{}
}

func newDirectory(fold *drconfig.Fold, secret []byte) *directory {
	d := &directory{fold: fold, secret: secret, withdrawn: make(map[string]*keyWatch)}
	fold.OnChange(d.changed)
	return d
}

// Authenticate implements drgateway.Directory.
func (d *directory) Authenticate(key string) (drgateway.Identity, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The lookup is under the lock, so that a withdrawal that is folded at the
	// same time closes the channel that is returned.
	k, ok := d.fold.Current().Authenticate(key, d.secret)
	if !ok {
		return drgateway.Identity{}, drerror.New(drerror.NotRun, drerror.InvalidKey, "the key is unknown or was withdrawn")
	}
	w := d.withdrawn[k.ID]
	if w == nil || w.key.Hash != k.Hash || w.key.Account != k.Account {
		w = &keyWatch{key: k, channel: make(chan struct{})}
		d.withdrawn[k.ID] = w
	}
	return drgateway.Identity{Account: k.Account, Withdrawn: w.channel}, nil
}

// changed closes the channels of keys that are gone, replaced or moved.
func (d *directory) changed(_, after drconfig.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.withdrawn {
		k, ok := after.Key(id)
		if !ok || k.Hash != w.key.Hash || k.Account != w.key.Account {
			close(w.channel)
			delete(d.withdrawn, id)
		}
	}
}

// Model implements drgateway.Directory.
func (d *directory) Model(account, name string) (drgateway.Model, error) {
	c := d.fold.Current()
	e, ok := c.Allowed(account, name)
	if !ok {
		_, isModel := c.Model(name)
		_, isAdapter := c.Adapter(name)
		if isModel || isAdapter {
			return drgateway.Model{}, drerror.New(drerror.NotRun, drerror.NotAllowed, "the client account may not use model %q", name)
		}
		return drgateway.Model{}, drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q does not exist", name)
	}
	m, ok := c.Model(e.Model)
	if !ok {
		return drgateway.Model{}, drerror.New(drerror.NotRun, drerror.UnknownModel, "model %q does not exist", e.Model)
	}
	return drgateway.Model{
		Model: e.Model, Adapter: e.Adapter,
		DefaultMaxTokens: m.DefaultMaxTokens, MaxTokens: m.MaxTokens, Priority: e.Priority,
	}, nil
}

// Models implements drgateway.Directory.
func (d *directory) Models(account string) []string { return d.fold.Current().ModelsFor(account) }

// Route implements drgateway.Directory.
func (d *directory) Route(path string) (drconfig.Route, error) {
	r, ok := d.fold.Current().Route(path)
	if !ok {
		return r, drerror.New(drerror.NotRun, drerror.UnknownRoute, "no route serves this path")
	}
	return r, nil
}

// MayUse implements drgateway.Directory.
func (d *directory) MayUse(account string, r drconfig.Route) bool {
	a, ok := d.fold.Current().Account(account)
	return ok && a.Labels.Contains(r.Accounts)
}
