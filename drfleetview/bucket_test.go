package drfleetview_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// Guards against tables that differ in what matters to requests but have equal digests,
// and against digests that depend on the order of events or on what other VMs are not
// told.
func TestDigestsAgreeIfTablesDo(t *testing.T) {
	is := is.New(t)
	a, _ := newView()
	b, _ := newView()
	for i := range 300 {
		a.OfferRunner(&drfleet.Runner{ID: fmt.Sprint(i), OnDisk: []string{"m"}}, drfleetview.FromRunner)
		b.OfferRunner(&drfleet.Runner{ID: fmt.Sprint(299 - i), Orders: 7}, drfleetview.FromController)
	}
	b.OfferRunner(&drfleet.Runner{ID: "left"}, drfleetview.FromController)
	b.RemoveRunner("left")
	is.True(slices.Equal(a.Digests(), b.Digests()))
	for _, changed := range []drfleet.Runner{
		{ID: "5", Started: 1}, {ID: "5", Started: 1, Draining: true}, {ID: "5", Started: 2, Address: "10.0.0.1:1"},
		{ID: "5", Started: 3, Replicas: []drfleet.Replica{{Model: "m", Adapters: []string{"x"}}}},
	} {
		before := b.Digests()
		b.OfferRunner(&changed, drfleetview.FromController)
		is.True(!slices.Equal(before, b.Digests()))
	}
	bucket := drfleetview.BucketOf("5")
	runners, digest := a.Bucket(bucket)
	is.Equal(digest, a.Digests()[bucket])
	is.True(slices.ContainsFunc(runners, func(c drfleetview.Change) bool { return c.Runner.ID == "5" }))
	a.KeepBucket(bucket, nil, drstore.Position{})
	is.Equal(a.Digests()[bucket], uint32(0))
	is.Equal(a.RunnerCount(), 300-len(runners))
}

// Guards against a log of changes that grows without end, or loses a runner that has not
// changed for long.
func TestChangesOfLongLivedTable(t *testing.T) {
	is := is.New(t)
	v, _ := newView()
	v.OfferRunner(&drfleet.Runner{ID: "steady"}, drfleetview.FromController)
	for i := range 1000 {
		v.OfferRunner(&drfleet.Runner{ID: "restless", Started: int64(i)}, drfleetview.FromController)
	}
	changes, revision := v.Changes(0)
	is.Equal(len(changes), 2)
	changes, _ = v.Changes(revision - 1)
	is.Equal(len(changes), 1)
	is.True(!changes[0].Update) // a new incarnation
	v.OfferRunner(&drfleet.Runner{ID: "restless", Started: 999, Orders: 1, Replicas: []drfleet.Replica{{Model: "m"}}}, drfleetview.FromController)
	changes, _ = v.Changes(revision)
	is.Equal(len(changes), 1)
	is.True(changes[0].Update)
	oldest, _, more := v.NextChanges(0, 1)
	is.Equal(oldest[0].Runner.ID, "steady")
	is.True(more)
}
