package drconfig

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// sizes are the numbers of objects in today's configuration, in an intermediate one and
// in one of the target size.
var sizes = []struct{ models, adapters, accounts, keys int }{
	{50, 60, 5, 20}, {120, 800, 200, 2000}, {240, 3100, 1000, 10000},
}

// generateObjects returns a valid configuration with the numbers of objects and one
// selector per account.
func generateObjects(models, adapters, accounts, keys int) Objects {
	objects := Objects{Fleet{Name: "llm", Kind: EngineFleet}}
	for i := range models {
		objects = append(objects, Model{Name: fmt.Sprint("m", i), Labels: Labels{"group": fmt.Sprint(i % 40)}, Fleet: "llm", Bytes: 8 << 30, DefaultMaxTokens: 256, MaxTokens: 1024})
	}
	for i := range adapters {
		objects = append(objects, Adapter{Name: fmt.Sprint("m", i%models, "-", i), Labels: Labels{"kind": fmt.Sprint(i % 10)}, Base: fmt.Sprint("m", i%models), Bytes: 1 << 20})
	}
	for i := range accounts {
		objects = append(objects,
			ClientAccount{Name: fmt.Sprint("a", i), Labels: Labels{"name": fmt.Sprint(i)}},
			Selector{Name: fmt.Sprint("s", i), Models: Labels{"group": fmt.Sprint(i % 40)}, Accounts: Labels{"name": fmt.Sprint(i)}, Rate: 100, Burst: 100, Replicas: Range{0, 2}})
	}
	for i := range keys {
		objects = append(objects, Key{ID: fmt.Sprint("k", i), Account: fmt.Sprint("a", i%accounts), Hash: HashKey(secret, fmt.Sprint(i))})
	}
	return objects
}

// applyPut applies a change with ID i that puts one object.
func applyPut(f *Fold, i int, object Object) {
	offset := f.Offset() + 1
	f.Apply(drlog.Record{Offset: offset, Data: Change{ID: fmt.Sprint(i), BasedOn: offset - 1, Puts: Objects{object}}.Encode()})
}

// BenchmarkConfig measures the operations on a configuration. For each size it also
// reports the bytes of a snapshot and of the live heap that one Fold takes.
func BenchmarkConfig(b *testing.B) {
	for _, s := range sizes {
		f := NewFold()
		f.Apply(drlog.Record{Offset: 1, Data: Change{ID: "base", Puts: generateObjects(s.models, s.adapters, s.accounts, s.keys)}.Encode()})
		c, snapshot := f.Current(), f.Snapshot()
		run := func(name string, op func(i int)) {
			b.Run(fmt.Sprintf("%s/models=%d/keys=%d", name, s.models, s.keys), func(b *testing.B) {
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					op(i)
				}
				b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
				b.ReportMetric(measureHeap(snapshot), "fold-bytes")
			})
		}
		run("fold-key", func(i int) {
			applyPut(f, i, Key{ID: "new", Account: "a1", Hash: HashKey(secret, fmt.Sprint("new", i))})
		})
		run("fold-selector", func(i int) {
			applyPut(f, i, Selector{Name: "s1", Models: Labels{"group": fmt.Sprint(i % 40)}, Accounts: Labels{"name": "1"}, Rate: 100, Burst: 100, Replicas: Range{0, 2}})
		})
		run("allowed", func(int) { c.Allowed("a1", "m1-1") })
		run("authenticate", func(int) { c.Authenticate("7", secret) })
		run("snapshot", func(int) { f.Snapshot() })
		run("restore", func(int) { _ = NewFold().Restore(1, snapshot) })
	}
}

// measureHeap returns the bytes of live heap that a Fold restored from the snapshot
// takes.
func measureHeap(snapshot []byte) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f := NewFold()
	_ = f.Restore(1, snapshot)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(f)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
