package drserve

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// handOverTimeout limits the time for handing over token shares and runners to other
// VMs. If the log is down, they stay recorded for this VM until the VM list no
// longer contains it.
const handOverTimeout = 5 * time.Second

// closeGrace is how long Close waits for open connections to end. After a drain
// these are idle connections, such as kept-alive connections of operators.
const closeGrace = 200 * time.Millisecond

// Drain shuts the VM down without failing requests. It reports not ready, waits
// until the load balancer has noticed, serves all accepted requests, hands over
// token shares and runners to other VMs, and stops. If ctx ends first, it stops
// early and returns an error.
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

// Close stops the VM at once. It may be called only after a successful Start. Running
// requests fail; call Drain to let them finish.
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

// closeListeners closes the listeners that were opened and waits for their
// connections until ctx ends.
func (v *VM) closeListeners(ctx context.Context) error {
	var errs []error
	for _, s := range []*drnet.Server{v.callerListener, v.adminListener, v.peerListener} {
		if s == nil {
			continue
		}
		// A deadline means that connections were still open and were cut off,
		// which is expected here.
		if err := s.Close(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
