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

// closeGrace bounds the wait for connections that carry nothing, such as kept
// connections of operators, after all requests are answered.
const closeGrace = 200 * time.Millisecond

// Drain reports not ready, waits for the balancer to take notice, serves all
// accepted requests, hands over what this VM holds, and stops. It returns
// early with an error if ctx ends.
func (v *VM) Drain(ctx context.Context) error {
	v.draining.Store(true)
	v.events.Record(drtimeline.Event{Name: drtimeline.DrainStarted})
	if err := v.Clock.Sleep(ctx, time.Duration(v.Settings.DrainNotice)); err != nil {
		return errors.Join(err, v.Close())
	}
	v.callerListener.StopAccepting()
	err := v.gateway.Drain(ctx)
	handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err = errors.Join(err, v.idempotency.Drain(handOverCtx))
	v.members.Leave(handOverCtx)
	v.placement.Drain(handOverCtx)
	if handOverErr := v.shareHolder.Drain(handOverCtx); handOverErr != nil {
		v.events.Record(drtimeline.Event{Name: drtimeline.HandOverFailed, Detail: "what=shares"})
	}
	v.events.Record(drtimeline.Event{Name: drtimeline.DrainFinished})
	return errors.Join(err, v.Close())
}

// Close stops at once. Running requests are cut; call Drain to avoid that.
func (v *VM) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	err := v.gateway.Close()
	v.cancel()
	v.limiter.Close()
	v.idempotency.Close()
	v.idempotencyHome.Close()
	v.suspectNotices.suspects.Close()
	v.suspectNotices.appends.Wait()
	err = errors.Join(err, v.peerNode.Close(), v.closeListeners(ctx))
	v.goroutines.Wait()
	v.logClient.Close()
	return errors.Join(err, v.dialer.Close())
}

func (v *VM) closeListeners(ctx context.Context) error {
	var errs []error
	for _, s := range []*drnet.Server{v.callerListener, v.adminListener, v.peerListener} {
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
