package drcontroller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a VM that reads the store itself as late as its former zone-drain allows.
func TestReadsFollowChangedZoneDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(1)
		defer f.close()
		n := f.nodes["vm-0"]
		is.Equal(n.deploymentBound(), n.Propagation)
		n.View.SetZoneDrain(n.Propagation / 2)
		is.Equal(n.deploymentBound(), n.Propagation/2)
		n.View.SetZoneDrain(time.Hour)
		is.Equal(n.deploymentBound(), n.Propagation)
	})
}
