package dredge

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drzone"
)

// settingsWithZoneDrain returns a valid settings file.
func settingsWithZoneDrain(bound time.Duration) string {
	return fmt.Sprintf(`{"vm": "front-1", "zone": "z1", "store-address": "10.0.0.9:80", "revocation": "8s", "zone-drain": "%s",
  "addresses": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "peers": "10.0.0.1:82"}}`, bound)
}

// Guards against a changed zone-drain that applies to the age of the configuration alone,
// while zones that are taken out of service still get requests until the former bound.
func TestReloadAppliesZoneDrainWhole(t *testing.T) {
	is := is.New(t)
	clock := drclock.NewFake(time.Unix(0, 0))
	settings, problems := Parse("edge.json", []byte(settingsWithZoneDrain(6*time.Second)))
	is.Equal(len(problems), 0)
	e, err := New(Config{Settings: settings, Clock: clock})
	is.NoErr(err)
	defer func() { is.NoErr(e.Close()) }()
	runner := &drfleet.Runner{ID: "r1", Service: "s", Zone: "z1", Started: 1}
	e.view.OfferRunner(runner, drfleetview.FromRunner)
	e.view.ConfirmDeployment(clock.Uptime())
	e.reload("edge.json", []byte(settingsWithZoneDrain(3*time.Second)), true)
	is.Equal(e.proxy.Freshness(), 2*time.Second)
	e.view.OfferOutages(drzone.New(1, map[string]int64{"z1": 0}))
	is.True(e.view.MayStart(runner))
	clock.Suspend(2 * time.Second)
	is.True(!e.view.MayStart(runner))
}
