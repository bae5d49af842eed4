package drserve

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// handOverTimeout bounds the handing over of shares and runners. With the log
// down they stay recorded for this VM until the VM list no longer shows it.
const handOverTimeout = 5 * time.Second

// idleGrace bounds the wait for connections that carry nothing, such as kept
// connections of operators, after all requests are answered.
const idleGrace = 200 * time.Millisecond

// Drain reports not ready, waits for the balancer to take notice, serves all
// accepted requests, hands over what this VM holds, and stops. It returns
// early with an error if ctx ends.
func (v *VM) Drain(ctx context.Context) error {
	v.draining.Store(true)
	v.events.Record(drtimeline.Event{Name: drtimeline.DrainStarted})
	if err := v.Clock.Sleep(ctx, time.Duration(v.Settings.DrainNotice)); err != nil {
		return errors.Join(err, v.Close())
	}
	v.callers.StopAccepting()
	err := v.gate.Drain(ctx)
	hctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err = errors.Join(err, v.once.Drain(hctx))
	v.members.Leave(hctx)
	v.place.Drain(hctx)
	if herr := v.holder.Drain(hctx); herr != nil {
		v.events.Record(drtimeline.Event{Name: drtimeline.HandOverFailed, Detail: "what=shares"})
	}
	v.events.Record(drtimeline.Event{Name: drtimeline.DrainFinished})
	return errors.Join(err, v.Close())
}

// Close stops at once. Running requests are cut; call Drain to avoid that.
func (v *VM) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), idleGrace)
	defer cancel()
	err := v.gate.Close()
	v.stop()
	v.limiter.Close()
	v.once.Close()
	v.home.Close()
	v.strikes.suspects.Close()
	v.strikes.appends.Wait()
	err = errors.Join(err, v.node.Close(), v.closeListeners(ctx))
	v.running.Wait()
	v.client.Close()
	return errors.Join(err, v.dialer.Close())
}

func (v *VM) closeListeners(ctx context.Context) error {
	var errs []error
	for _, s := range []*drnet.Server{v.callers, v.operators, v.peers} {
		if s == nil {
			continue
		}
		// Handlers that outlast ctx are cut, which is not an error here.
		if err := s.Close(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
