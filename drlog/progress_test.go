package drlog

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// queryingFolder calls onApply from Apply, so that a test can query the follower
// while a record is applied.
type queryingFolder struct {
	onApply func()
}

func (f *queryingFolder) Apply(Record)                 { f.onApply() }
func (f *queryingFolder) Snapshot() []byte             { return nil }
func (f *queryingFolder) Restore(uint64, []byte) error { return nil }

// Guards against a deadlock between Apply and a caller of Offset, Confirmed or
// WaitFor. It occurred when the placement owner called them while it held a lock
// that the ledger's listener, called from Apply, needed as well.
func TestFollowerAnswersWhileApplying(t *testing.T) {
	is := is.New(t)
	folder := &queryingFolder{}
	f := NewFollower(FollowerConfig{Stream: "s", Folder: folder, Clock: drclock.NewFake(time.Unix(0, 0))})
	applied := false
	folder.onApply = func() {
		f.Confirmed()
		is.Equal(f.Offset(), uint64(0))
		is.NoErr(f.WaitFor(context.Background(), 0))
		applied = true
	}
	entry, err := proto.Marshal(&drpb.LogRecord{Version: envelopeVersion, Body: &drpb.LogRecord_Entry{Entry: []byte("x")}})
	is.NoErr(err)
	is.NoErr(f.applyPage(context.Background(), Page{Records: []Record{{Offset: 1, Data: entry}}, First: 1, Next: 2}, time.Unix(1, 0)))
	is.True(applied)
	is.Equal(f.Offset(), uint64(1))
}
