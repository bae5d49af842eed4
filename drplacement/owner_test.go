package drplacement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// lockingJournal notes whether it is asked while the owner's lock is held.
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

// Guards against a deadlock with the follower of the stream, which holds its
// lock while a record reaches Owner.ledgerChanged, and takes it for Confirmed.
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
