package drwarmup_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drwarmup"
)

// Guards against a cold runner that gets nothing although it bears some requests, and
// against permits for its next incarnation.
func TestColdRunnerGetsItsRate(t *testing.T) {
	is := is.New(t)
	b := drwarmup.NewBudget(0)
	bound := drwarmup.Bound{Window: time.Second, Overage: 1.5, Slack: 5}
	rate, none := drwarmup.Rate{PerSecond: 20, Bound: bound}, drwarmup.Rate{Bound: bound}
	runner := drwarmup.Incarnation{Runner: "r", Started: 1}
	is.Equal(b.Give(runner, rate, 9, drwarmup.PermitTime), 0) // those of a former controller may be used yet
	given := 0
	for now := drwarmup.PermitTime; now < 10*time.Second; now += 50 * time.Millisecond {
		given += b.Give(runner, rate, 9, now)
	}
	is.True(given > 180 && given <= 205)
	var p drwarmup.Permits
	p.Add(runner, 2, time.Second)
	is.True(!p.Take(drwarmup.Incarnation{Runner: "r", Started: 2}, 0))
	is.True(p.Take(runner, 0))
	is.Equal(p.Left(runner, 0), 1)
	is.True(!p.Take(runner, time.Second))
	is.Equal(b.Available(runner, none, time.Minute), 0) // bears none but the slack
}
