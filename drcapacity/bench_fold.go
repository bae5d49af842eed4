package drcapacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/dridempotency"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drplacement"
	"github.com/dotterelridge/dotterelridge/drtokenshare"
)

// answerBytes is the size of the recorded answers in the measurements, that of
// a short JSON document. dridempotency.MaxAnswer bounds it.
const answerBytes = 512

// folds measures the folds of the streams "placement", "shares" and "once-N" by
// the number of records.
func (b *bench) folds() error {
	for _, n := range []int{64, 256, 1024, 3700} {
		if err := b.fold("ledger-owner", "runners", n, func() drlog.Folder { return drplacement.NewLedger() }, ownerRecord); err != nil {
			return err
		}
	}
	for _, n := range []int{60, 240, 960, 3700} {
		if err := b.fold("ledger-right", "rights", n, func() drlog.Folder { return drplacement.NewLedger() }, grantRecord); err != nil {
			return err
		}
	}
	for _, n := range []int{20, 80, 320, 1000} {
		if err := b.fold("shares", "accounts", n, func() drlog.Folder { return drtokenshare.NewShares() }, shareRecord); err != nil {
			return err
		}
	}
	for _, n := range []int{1000, 4000, 16000} {
		if err := b.fold("once", "calls", n, func() drlog.Folder { return dridempotency.NewPartition(21 * time.Hour) }, callRecord); err != nil {
			return err
		}
	}
	return nil
}

// fold measures a fold of n records: the processor time to apply all of them,
// their bytes, the memory of the resulting state, and the bytes and processor
// time of its snapshot.
func (b *bench) fold(name, variable string, n int, empty func() drlog.Folder, record func(i int) proto.Message) error {
	records := make([][]byte, n)
	size := 0
	for i := range records {
		data, err := proto.Marshal(record(i))
		if err != nil {
			return err
		}
		records[i], size = data, size+len(data)
	}
	now := time.Now()
	fill := func() any {
		f := empty()
		for i, data := range records {
			f.Apply(drlog.Record{Offset: uint64(i + 1), Time: now, Data: data})
		}
		return f
	}
	if err := b.cpu(name+"-fold", "", variable, float64(n), func() error { fill(); return nil }); err != nil {
		return err
	}
	b.addSample(name+"-bytes", "B", variable, float64(n), float64(size))
	b.memory(name+"-memory", variable, float64(n), fill)
	f := fill().(drlog.Folder)
	b.addSample(name+"-snapshot-bytes", "B", variable, float64(n), float64(len(f.Snapshot())))
	return b.cpu(name+"-snapshot", "", variable, float64(n), func() error { f.Snapshot(); return nil })
}

func ownerRecord(i int) proto.Message {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Own{Own: &drpb.PlacementOwn{
		Runner: fmt.Sprintf("runner-vm-%04d", i), Vm: fmt.Sprintf("entry-vm-%04d", i%410), Incarnation: 1,
	}}}
}

func grantRecord(i int) proto.Message {
	return &drpb.PlacementRecord{Kind: &drpb.PlacementRecord_Grant{Grant: &drpb.PlacementGrant{
		Model: fmt.Sprint("model-", i%240), Runner: fmt.Sprintf("runner-vm-%04d", i), Max: 1000, ConfigOffset: 1,
	}}}
}

func shareRecord(i int) proto.Message {
	e := &drpb.ShareEntry{}
	for s := range drtokenshare.ShareCount {
		e.Changes = append(e.Changes, &drpb.ShareChange{
			Account: fmt.Sprint("account-", i), Share: uint32(s), Vm: fmt.Sprintf("entry-vm-%04d", (8*i+s)%410), Incarnation: 1,
		})
	}
	return e
}

// callRecord holds an intent with its outcome. In the log they are two
// entries, mostly of different records.
func callRecord(i int) proto.Message {
	account, key, attempt := fmt.Sprint("account-", i%50), fmt.Sprintf("%036d", i), fmt.Sprintf("%036d", i+1e9)
	return &drpb.OnceEntry{
		Intents: []*drpb.OnceIntent{{
			Account: account, Key: key, Fingerprint: make([]byte, 32), Attempt: attempt, Vm: "entry-vm-0001", Incarnation: 1,
		}},
		Outcomes: []*drpb.OnceOutcome{{
			Account: account, Key: key, Attempt: attempt, Verdict: "ran",
			Answer: &drpb.OnceAnswer{Status: 200, Headers: []*drpb.OnceHeader{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, answerBytes)},
		}},
	}
}
