package drclock_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
)

// Guards against a timer of Fake that fires before it is due or not at all.
func TestFakeFiresTimersWhenDue(t *testing.T) {
	is := is.New(t)
	c := drclock.NewFake(time.Unix(0, 0))
	timer := c.NewTimer(time.Second)
	c.Advance(999 * time.Millisecond)
	select {
	case <-timer.C():
		t.Fatal("timer fired early")
	default:
	}
	c.Advance(time.Millisecond)
	is.Equal(<-timer.C(), time.Unix(1, 0))
	is.True(!timer.Stop())
}

// Guards against a WithTimeout that runs on the system clock although it was
// given another one.
func TestWithTimeoutFollowsTheClock(t *testing.T) {
	is := is.New(t)
	c := drclock.NewFake(time.Unix(0, 0))
	ctx, cancel := drclock.WithTimeout(context.Background(), c, time.Minute)
	defer cancel()
	c.BlockUntil(1)
	is.NoErr(ctx.Err())
	c.Advance(time.Minute)
	<-ctx.Done()
	is.Equal(context.Cause(ctx), context.DeadlineExceeded)
}
