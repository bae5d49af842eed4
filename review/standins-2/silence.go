package main

import (
	"syscall"
	"time"
)

const (
	// hangUpEdge is the entry VM whose settings change, while pausedStreams streams begin there.
	hangUpEdge    = 1
	pausedStreams = 32
	pausedStream  = 30 // events
	// hangUpAt is when that is, after the first stream.
	hangUpAt = 3 * time.Second
	// propagation is how long after it requests are sent that count.
	propagation = 2 * time.Second
	// timeoutMargin is how long before the route's timeout a stream must have been cut to count.
	timeoutMargin = time.Second
)

// playSilence pauses the streams of one runner in their middle while the other one has requests
// wait in its queue and then turns them away, and sends SIGHUP to the entry VM. It counts the
// streams that were cut around that.
func playSilence(env environment) (broken bool, err error) {
	f, err := newFleet(env.dir, env.record, 4)
	if err != nil {
		return false, err
	}
	if err := f.configure(service, watchPath, clientKey); err != nil {
		return false, err
	}
	runners, err := startRunners(f, 2, oldVersion, "r", pausedStream)
	if err != nil {
		return false, err
	}
	runners[0].pauseAfter, runners[0].pause = 10, 1800*time.Millisecond
	runners[1].refuseAfter = 400 * time.Millisecond
	if err := f.start(); err != nil {
		return false, err
	}
	c := &clients{record: env.record, path: watchPath + "a", key: clientKey, events: pausedStream}
	began := time.Now()
	signalled := make(chan error, 1)
	go func() {
		time.Sleep(hangUpAt)
		if !env.trouble {
			signalled <- nil
			return
		}
		env.record.add("entry VM %d gets SIGHUP", hangUpEdge)
		signalled <- f.signal(hangUpEdge, syscall.SIGHUP)
	}()
	for range pausedStreams {
		c.open(f.callers(), hangUpEdge)
		time.Sleep(125 * time.Millisecond)
	}
	c.wg.Wait()
	if err := <-signalled; err != nil {
		return false, err
	}
	cut, counted := c.cutAround(began.Add(hangUpAt))
	if !env.trouble {
		counted = 0 // there was no planned work
	}
	env.record.add("%d of %d streams were cut, %d of them around planned work", cut, len(c.all), counted)
	return counted > 0, nil
}

// cutAround counts the streams that were cut well before the route's timeout, and those of them
// that were sent up to propagation after a SIGHUP and cut after it.
func (c *clients) cutAround(hangUp time.Time) (cut, counted int) {
	for _, st := range c.all {
		a := st.attempts[0]
		if st.complete || a.events == 0 || a.endedAt.Sub(a.sentAt) > streamDeadline-timeoutMargin {
			continue
		}
		cut++
		if !a.sentAt.After(hangUp.Add(propagation)) && a.endedAt.After(hangUp) {
			counted++
		}
	}
	return cut, counted
}
