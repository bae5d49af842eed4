package drfleetview_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
)

// boundedRunnerIDs returns the ids of the bounded runners of service s that hold a model.
func boundedRunnerIDs(v *drfleetview.View, model string) []string {
	var ids []string
	for _, b := range v.BoundedRunners(drfleetview.Replica{Service: "s", Model: model}) {
		ids = append(ids, b.Runner)
	}
	return ids
}

// Guards against a runner whose requests need permits and for which nobody gives any, after
// limits and cold starts have come and gone, runners were removed, have come back or have
// started again, and the configuration has changed.
func TestBoundedRunnersAreFound(t *testing.T) {
	const orders, runners, steps = 1000, 4, 60
	anyModels := [][]drfleet.Replica{nil, {{Model: "a"}}, {{Model: "b"}, {Model: "a"}}, {{Model: "b"}}}
	bounded := 0
	for seed := range uint64(orders) {
		random, clock := rand.New(rand.NewPCG(seed, 41)), drclock.NewFake(time.Unix(0, 0))
		v := drfleetview.New(clock)
		started, beat := make([]int64, runners), 1
		for step := range steps {
			i := random.IntN(runners)
			id := fmt.Sprintf("r-%d", i)
			switch random.IntN(8) {
			case 0:
				v.RemoveRunner(id)
			case 1:
				started[i]++
			case 2, 3:
				beat++
				cold := time.Duration(random.IntN(3)) * time.Second
				v.OfferRunner(&drfleet.Runner{ID: id, Service: "s", Started: started[i], Beat: beat, Cold: cold, Replicas: anyModels[random.IntN(len(anyModels))]}, drfleetview.FromRunner)
			case 4:
				v.OfferLimit(drfleetview.Incarnation{Runner: id, Started: started[i]}, float64(random.IntN(3)), clock.Uptime())
			case 5:
				d, err := drfleet.NewDeployment(drfleet.Config{Version: int64(step), Services: []drfleet.Service{{Name: "s", ColdRate: float64(random.IntN(2))}}})
				if err != nil {
					t.Fatal(err)
				}
				v.OfferDeployment(d, nil)
			default:
				clock.Advance(time.Duration(random.IntN(2000)) * time.Millisecond)
			}
			for _, model := range []string{"", "a", "b"} {
				found := boundedRunnerIDs(v, model)
				bounded += len(found)
				for _, r := range v.Runners("s") {
					if is := slices.Contains(found, r.ID); is != (r.Holds(model, "") && !v.MayStart(r)) {
						t.Fatalf("seed %d, step %d: %s among the bounded runners %v of model %q: %t", seed, step, r.ID, found, model, is)
					}
				}
			}
		}
	}
	if bounded < orders {
		t.Errorf("only %d bounded runners", bounded)
	}
}
