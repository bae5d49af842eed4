package drcontroller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drmetric"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Guards against a distance that grows with each call that was delayed, and against one
// that is used for another controller.
func TestDistanceIsThatOfFastCalls(t *testing.T) {
	is := is.New(t)
	var d distance
	is.Equal(d.estimate("a"), time.Duration(0))
	d.measure("a", 8*time.Millisecond)
	d.measure("a", 4*time.Millisecond)
	d.measure("a", 36*time.Millisecond)
	is.Equal(d.estimate("a"), 3*time.Millisecond)
	is.Equal(d.estimate("b"), time.Duration(0))
	d.measure("b", 10*time.Millisecond)
	is.Equal(d.estimate("b"), 5*time.Millisecond)
}

// Guards against a claim that is decided on arrival although an earlier request of the
// same account may still be on its way, and against one held beyond its call's end.
func TestContendedClaimIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		view := drfleetview.New(drclock.System{})
		d, err := drfleet.NewDeployment(drfleet.Config{Version: 1, Accounts: []drfleet.Account{{Name: "a", Rate: 10, Burst: 10}}})
		is.NoErr(err)
		view.OfferDeployment(d, nil)
		c := NewController(ControllerConfig{Clock: drclock.System{}, Metrics: drmetric.New(), Holds: func() bool { return false }}, view)
		defer c.Close()
		request := &drpb.FleetReserveRequest{Account: "a", Tokens: 10, AgeUs: 1000}
		held, err := c.holdClaim(t.Context(), request)
		is.NoErr(err)
		is.Equal(held, time.Duration(0))
		reply, err := c.Reserve("vm", request)
		is.NoErr(err)
		is.True(reply.GetGranted())
		held, err = c.holdClaim(t.Context(), request)
		is.NoErr(err)
		is.True(held > 0)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = c.holdClaim(ended, request)
		is.True(err != nil)
	})
}
