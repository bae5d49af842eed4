package drplacement

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// ledgerLog is a ledger to which records are applied one by one, at consecutive
// offsets.
type ledgerLog struct {
	*Ledger
	lastOffset uint64
	accepted   int
	data       [][]byte
}

func newLedgerLog() *ledgerLog {
	l := &ledgerLog{Ledger: NewLedger()}
	l.Watch(func(Change) { l.accepted++ })
	return l
}

// add applies a record at the next offset and reports whether it was accepted.
func (l *ledgerLog) add(record *drpb.PlacementRecord) bool {
	b, err := proto.Marshal(record)
	if err != nil {
		panic(err)
	}
	l.lastOffset++
	before := l.accepted
	l.data = append(l.data, b)
	l.Apply(drlog.Record{Offset: l.lastOffset, Data: b})
	return l.accepted > before
}

func ownRecord(runner, vm string, basedOn uint64) *drpb.PlacementRecord {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Own{Own: &drpb.PlacementOwn{Runner: runner, Vm: vm, Incarnation: 1, BasedOn: basedOn}}}
}

func grantRecord(model, runner string, limit uint32, offset uint64) *drpb.PlacementRecord {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Grant{Grant: &drpb.PlacementGrant{Model: model, Runner: runner, Max: limit, ConfigOffset: offset}}}
}

func releaseRecord(model, runner string, granted, fence uint64) *drpb.PlacementRecord {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Release{Release: &drpb.PlacementRelease{Model: model, Runner: runner, Grant: granted, Fence: fence}}}
}

func decideRecord(model string, limit uint32, offset uint64) *drpb.PlacementRecord {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Decide{Decide: &drpb.PlacementDecide{Model: model, Max: limit, ConfigOffset: offset}}}
}

func intentRecord(runner, model string, fence uint64) *drpb.PlacementRecord {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Intent{Intent: &drpb.PlacementIntent{Runner: runner, Model: model, Replica: model, Fence: fence, Bytes: 1}}}
}

// Guards against a fold that accepts records whose author did not know of
// earlier records. Comments give the offsets of accepted records.
func TestLedgerRejectsStaleRecords(t *testing.T) {
	is := is.New(t)
	l := newLedgerLog()
	is.True(l.add(ownRecord("r", "a", 0)))          // 1
	is.True(!l.add(ownRecord("r", "b", 0)))         // second claim based on the same state
	is.True(l.add(grantRecord("m", "r", 1, 10)))    // 3
	is.True(!l.add(grantRecord("m", "s", 1, 10)))   // above the decided number
	is.True(!l.add(grantRecord("m", "s", 9, 9)))    // older configuration
	is.True(l.add(decideRecord("m", 2, 11)))        // 6
	is.True(!l.add(decideRecord("m", 1, 10)))       // older configuration
	is.True(l.add(grantRecord("m", "s", 2, 11)))    // 8
	is.True(!l.add(grantRecord("m", "s", 2, 11)))   // second right on the same runner
	is.True(l.add(intentRecord("r", "m", 1)))       // 10
	is.True(!l.add(releaseRecord("m", "r", 3, 1)))  // an intent is open
	is.True(l.add(ownRecord("r", "b", 1)))          // 12
	is.True(!l.add(intentRecord("r", "m", 1)))      // old fencing token
	is.True(!l.add(releaseRecord("m", "r", 3, 1)))  // old fencing token
	is.True(!l.add(releaseRecord("m", "r", 3, 12))) // the intent is still open
	is.True(l.add(giveUpRecord("r", 1, false)))     // 16, by the old owner
	is.Equal(l.Owner("r").VM, "b")                  // the ownership of b goes on
	is.True(l.add(releaseRecord("m", "r", 3, 12)))  // 17
	is.True(l.add(grantRecord("m", "r", 2, 11)))    // 18
	is.True(!l.add(releaseRecord("m", "r", 3, 12))) // late copy of record 17
	is.True(l.add(decideRecord("m", 1, 12)))        // 20
	is.True(l.RightsOn("r")["m"].Excess)            // the newest right is in excess
	is.True(!l.RightsOn("s")["m"].Excess)           // the older right is not
	is.True(!l.add(intentRecord("r", "m", 12)))     // no load under a right in excess
	is.True(!l.Owner("r").Clean)                    // a did not give the runner up before b claimed it
	is.True(l.add(giveUpRecord("r", 12, false)))    // 22
	is.True(l.add(ownRecord("r", "c", 12)))         // 23
	is.True(!l.Owner("r").Clean)                    // the lease of a may still run
	is.True(!l.add(releaseRecord("m", "s", 8, 0)))  // s has no owner
	l.Apply(drlog.Record{Offset: 25, Data: []byte("\xff")})
	is.Equal(l.Offset(), uint64(25))
}

// Guards against a release that an owner appended before another VM took over:
// the new owner may have loaded the model under the same right.
func TestLedgerRejectsReleaseOfFormerOwner(t *testing.T) {
	is := is.New(t)
	l := newLedgerLog()
	is.True(l.add(ownRecord("r", "a", 0)))         // 1
	is.True(l.add(grantRecord("m", "r", 1, 1)))    // 2
	is.True(l.add(ownRecord("r", "b", 1)))         // 3
	is.True(!l.add(releaseRecord("m", "r", 2, 1))) // by a
	is.True(l.add(releaseRecord("m", "r", 2, 3)))  // by b
}

// Guards against a snapshot that loses state, or that differs between VMs at
// the same offset.
func TestLedgerSnapshot(t *testing.T) {
	is := is.New(t)
	l := newLedgerLog()
	fillLedger(l, 20, 10, 2)
	l.add(intentRecord("r0", "m0", l.Owner("r0").Fence))
	l.add(&drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Slot{Slot: &drpb.PlacementSlot{Kind: 1, Number: 31, Vm: "a"}}})
	restored := newLedgerLog()
	is.NoErr(restored.Restore(l.Offset(), l.Snapshot()))
	is.True(bytes.Equal(restored.Snapshot(), l.Snapshot()))
	restored.lastOffset = l.lastOffset
	for _, r := range []*drpb.PlacementRecord{decideRecord("m0", 1, 99), ownRecord("r1", "z", l.Owner("r1").Fence), releaseRecord("m1", "r1", 5, 1)} {
		is.Equal(restored.add(r), l.add(r))
	}
	is.True(bytes.Equal(restored.Snapshot(), l.Snapshot()))
}

// fillLedger adds an owner for each runner and the given number of rights for
// each model.
func fillLedger(ledger *ledgerLog, runners, models, each int) {
	for i := range runners {
		ledger.add(ownRecord(fmt.Sprintf("r%d", i), fmt.Sprintf("vm%d", i%410), 0))
	}
	for i := range models {
		for j := range each {
			ledger.add(grantRecord(fmt.Sprintf("m%d", i), fmt.Sprintf("r%d", (i*each+j)%runners), uint32(each), 1))
		}
	}
}

// BenchmarkLedger measures the time to fold a record and the memory of the
// ledger. Adapters have no records, because they are loaded under the rights of
// their base models.
func BenchmarkLedger(b *testing.B) {
	for _, size := range []struct{ runners, models int }{{9, 50}, {370, 240}, {3700, 240}} {
		b.Run(fmt.Sprintf("runners=%d/models=%d", size.runners, size.models), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			l := newLedgerLog()
			fillLedger(l, size.runners, size.models, max(1, size.runners*4/size.models))
			data := l.data
			l.data = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			heap := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			for _, d := range data {
				heap -= float64(cap(d))
			}
			heap -= float64(cap(data)) * 24
			snapshot := float64(len(l.Snapshot()))
			b.ResetTimer()
			for i := range b.N {
				if i%len(data) == 0 {
					l.Ledger = NewLedger()
				}
				l.Apply(drlog.Record{Offset: uint64(i%len(data) + 1), Data: data[i%len(data)]})
			}
			b.ReportMetric(heap/1024, "heap-KiB")
			b.ReportMetric(snapshot/1024, "snapshot-KiB")
			b.ReportMetric(float64(len(data)), "records")
		})
	}
}
