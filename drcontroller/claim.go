package drcontroller

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtokenpool"
)

// distanceDecay is the part by which the estimate of a distance follows a longer
// measurement. It is small because calls are delayed by more than their way.
const distanceDecay = 1.0 / 16

// distance estimates how long a message takes from this VM to the controller. The zero
// value is ready for use, and it is safe for concurrent use.
type distance struct {
	mu     sync.Mutex
	to     string // the controller that was measured
	oneWay time.Duration
}

// estimate returns the time that a message takes to the VM, 0 if it is unknown.
func (d *distance) estimate(to string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.to != to {
		return 0
	}
	return d.oneWay
}

// measure records a round trip to the VM, without the time that it held the message.
func (d *distance) measure(to string, roundTrip time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	way := max(roundTrip/2, 0)
	if d.to != to || way < d.oneWay {
		d.to, d.oneWay = to, way
		return
	}
	d.oneWay += time.Duration(float64(way-d.oneWay) * distanceDecay)
}

// Claim implements drtokenpool.Claimer by a call to the controller. ok is false if no
// controller has replied lately or the call failed.
func (n *Node) Claim(ctx context.Context, account string, c drtokenpool.Claim) (r drtokenpool.Reservation, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	leader, reached := n.Leader()
	if !reached {
		return drtokenpool.Reservation{}, false
	}
	request := &drpb.FleetReserveRequest{
		Account: account, Tokens: c.Tokens, Identity: c.Identity, AgeUs: microseconds(c.Age + n.distance.estimate(leader.VM)),
		ObjectiveMs: uint32(milliseconds(c.Objective)),
	}
	reply := new(drpb.FleetReserveReply)
	began := n.Clock.Now()
	if err := n.Peers.Call(ctx, leader.VM, methodReserve, request, reply); err != nil {
		log.WithFields(log.Fields{"event": "reserve-failed", "account": account, "tokens": c.Tokens, "controller": leader.VM,
			"term": leader.Term}).WithError(err).Info("")
		return drtokenpool.Reservation{}, false
	}
	n.distance.measure(leader.VM, n.Clock.Since(began)-time.Duration(reply.GetHeldUs())*time.Microsecond)
	return drtokenpool.Reservation{
		Granted: reply.GetGranted(), Saturated: reply.GetSaturated(), Repeated: reply.GetRepeated(),
		RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond,
		Refill:     time.Duration(reply.GetRefillUs()) * time.Microsecond,
	}, true
}

// holdClaim waits until a claim may be decided, and returns how long that took. The
// error is the context's.
func (c *Controller) holdClaim(ctx context.Context, request *drpb.FleetReserveRequest) (time.Duration, error) {
	wait := c.pool.HoldTime(request.GetAccount(), time.Duration(request.GetAgeUs())*time.Microsecond)
	if wait <= 0 {
		return 0, nil
	}
	began := c.Clock.Now()
	err := c.Clock.Sleep(ctx, wait)
	return c.Clock.Since(began), err
}

// claimOf returns the claim in a call.
func claimOf(request *drpb.FleetReserveRequest) drtokenpool.Claim {
	return drtokenpool.Claim{
		Tokens: request.GetTokens(), Identity: request.GetIdentity(), Age: time.Duration(request.GetAgeUs()) * time.Microsecond,
		Objective: time.Duration(request.GetObjectiveMs()) * time.Millisecond,
	}
}

// microseconds returns a duration in whole microseconds, within the range of uint32.
func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}
