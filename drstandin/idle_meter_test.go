package drstandin

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drengine"
)

// Guards against idle or loaded time that includes adapters or replicas that are
// still loading, and against idle time of replicas in use.
func TestIdleMeter(t *testing.T) {
	is := is.New(t)
	e := NewEngine(EngineConfig{})
	add := func(id, model, adapter string, state drengine.ReplicaState) {
		e.replicas[id] = &engineReplica{Replica: drengine.Replica{ID: id, Model: model, Adapter: adapter, State: state}}
	}
	add("1", "used", "", drengine.Loaded)
	add("2", "unused", "", drengine.Loaded)
	add("3", "unused", "x", drengine.Loaded)
	add("4", "loading", "", drengine.Loading)
	e.usage.activeGenerations["used"] = 1
	e.usage.updatedAt = time.Now().Add(-time.Hour)
	c := e.Counts()
	is.Equal(int(c.LoadedSeconds), 7200)
	is.Equal(int(c.IdleSeconds), 3600)
}
