package drcontroller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against overloading a store that is down: the pause of each VM must
// grow with the number of VMs, but stay short enough to notice soon that the
// store is back.
func TestBackoffGrowsWithFleet(t *testing.T) {
	is := is.New(t)
	longest := func(vms int) time.Duration {
		var b backoff
		most := time.Duration(0)
		for range 50 {
			most = max(most, b.next(vms))
		}
		return most
	}
	is.True(longest(1) <= minPauseLimit)
	is.True(longest(134) > minPauseLimit)
	is.True(longest(1000) <= maxPauseLimit)
	b := backoff{pause: maxPauseLimit}
	b.reset()
	is.True(b.next(1000) <= minReadPause)
}

// Guards against strong VMs that wait for no reason, and against weak ones that
// acquire the lease before the strong ones have noticed that it is vacant.
func TestWeaknessDelay(t *testing.T) {
	is := is.New(t)
	is.Equal(missingCoreDelay(0.8, 0.8), time.Duration(0))
	is.True(missingCoreDelay(0.134, 0.8) > maxSyncWait+syncReplyTimeout) // within which all VMs notice the loss
	is.Equal(missingCoreDelay(1, 0), time.Duration(0))
	is.True(missingCoreDelay(0.272, 0) < time.Second)
}

// Guards against a fleet whose VMs all read the runners at once after they lost the
// controller, so that the next one cannot read them, and against a small one that waits
// for no reason.
func TestReadTurnsSpreadWithFleet(t *testing.T) {
	is := is.New(t)
	longest := func(vms, runners int) time.Duration {
		most := time.Duration(0)
		for range 200 {
			var turn readTurn
			turn.come(0, vms, runners)
			most = max(most, turn.at)
		}
		return most
	}
	is.True(longest(5, 30) < 10*time.Millisecond)
	is.True(longest(300, 3000) > 10*time.Second)
	var turn readTurn
	is.True(!turn.come(0, 1e6, 1e6) || turn.at == 0)
	is.True(turn.come(turn.at, 1e6, 1e6)) // drawn once
	turn.reset()
	is.True(turn.come(time.Hour, 0, 0))
}
