package drconfig

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/dotterelridge/dotterelridge/drlog"
)

// sizes are today's size, an intermediate one and the target size.
var sizes = []struct{ models, adapters, accounts, keys int }{
	{50, 60, 5, 20}, {120, 800, 200, 2000}, {240, 3100, 1000, 10000},
}

func sized(models, adapters, accounts, keys int) Objects {
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

func eachSize(b *testing.B, run func(b *testing.B, f *Fold)) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("models=%d/adapters=%d/accounts=%d/keys=%d", s.models, s.adapters, s.accounts, s.keys), func(b *testing.B) {
			f := NewFold()
			f.Apply(drlog.Record{Offset: 1, Data: Change{ID: "base", Puts: sized(s.models, s.adapters, s.accounts, s.keys)}.Encode()})
			if r, _ := f.Result("base"); !r.Accepted {
				b.Fatal(r.Problems)
			}
			run(b, f)
		})
	}
}

func benchmarkChange(b *testing.B, put func(i int) Object) {
	eachSize(b, func(b *testing.B, f *Fold) {
		for i := 0; b.Loop(); i++ {
			offset := f.Offset() + 1
			f.Apply(drlog.Record{Offset: offset, Data: Change{ID: fmt.Sprint(i), BasedOn: offset - 1, Puts: Objects{put(i)}}.Encode()})
		}
	})
}

func BenchmarkFoldKey(b *testing.B) {
	benchmarkChange(b, func(i int) Object {
		return Key{ID: "new", Account: "a1", Hash: HashKey(secret, fmt.Sprint("new", i))}
	})
}

func BenchmarkFoldSelector(b *testing.B) {
	benchmarkChange(b, func(i int) Object {
		return Selector{Name: "s1", Models: Labels{"group": fmt.Sprint(i % 40)}, Accounts: Labels{"name": "1"}, Rate: 100, Burst: 100, Replicas: Range{0, 2}}
	})
}

func BenchmarkAllowed(b *testing.B) {
	eachSize(b, func(b *testing.B, f *Fold) {
		c := f.Current()
		for b.Loop() {
			c.Allowed("a1", "m1-1")
		}
	})
}

func BenchmarkAuthenticate(b *testing.B) {
	eachSize(b, func(b *testing.B, f *Fold) {
		c := f.Current()
		for b.Loop() {
			c.Authenticate("7", secret)
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, f *Fold) {
		for b.Loop() {
			b.ReportMetric(float64(len(f.Snapshot())), "snapshot-bytes")
		}
	})
}

// BenchmarkRestore also reports the live heap of one fold.
func BenchmarkRestore(b *testing.B) {
	eachSize(b, func(b *testing.B, f *Fold) {
		snapshot := f.Snapshot()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var g *Fold
		for b.Loop() {
			g = NewFold()
			if err := g.Restore(1, snapshot); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "fold-bytes")
		runtime.KeepAlive(g)
	})
}
