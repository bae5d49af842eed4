package drplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// lockingJournal records whether Confirmed was called, and whether the lock of
// the Owner was held then.
type lockingJournal struct {
	Journal
	placement        *Placement
	called, lockHeld bool
}

func (j *lockingJournal) Confirmed() time.Time {
	j.called = true
	if !j.placement.owner.mu.TryLock() {
		j.lockHeld = true
		return time.Time{}
	}
	j.placement.owner.mu.Unlock()
	return time.Time{}
}

// Guards against a deadlock between Owner.reconcile and the follower of the
// stream. The follower holds its lock when it calls Owner.ledgerChanged, which
// takes the lock of the Owner, and Confirmed takes the lock of the follower.
func TestReviewAsksJournalWithoutOwnersLock(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, 3, true)
	j := &lockingJournal{}
	j.placement = New(Config{
		Clock: drclock.System{}, Ledger: NewLedger(), Journal: j, Catalogue: c,
		View: &testView{c, c.vms["vm00"].member}, Recorder: drtimeline.Discard{},
	})
	j.placement.owner.reconcile(t.Context())
	is.True(j.called)
	is.True(!j.lockHeld)
}
