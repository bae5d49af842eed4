package drlog_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// Guards against the verdict NotRun for an append whose record is in the stream or
// gets there later, which happens when the log loses its response or appends late,
// and against applying a record twice.
func TestAppendVerdicts(t *testing.T) {
	is := is.New(t)
	s := drstandin.NewLog(drstandin.LogConfig{})
	is.NoErr(s.Start())
	defer s.Close()
	h := drlog.NewHTTP(drlog.HTTPConfig{Address: s.Address()})
	defer h.Close()
	folder := &entryList{}
	f := drlog.NewFollower(drlog.FollowerConfig{Log: h, Stream: "s", Folder: folder})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	appendEntry := func(entry string) (uint64, error) { return drlog.AppendEntry(ctx, h, "s", []byte(entry)) }

	offset, err := appendEntry("a")
	is.NoErr(err)
	is.Equal(offset, uint64(1))
	s.SetFaults(drstandin.LogFaults{LoseAnswer: true})
	_, err = appendEntry("lost")
	is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
	s.SetFaults(drstandin.LogFaults{LateAppend: drstandin.Duration(100 * time.Millisecond)})
	_, err = appendEntry("late")
	is.Equal(drerror.VerdictOf(err), drerror.MayHaveRun)
	s.SetFaults(drstandin.LogFaults{RejectRate: 1})
	_, err = appendEntry("refused")
	is.Equal(drerror.VerdictOf(err), drerror.NotRun)
	is.NoErr(f.WaitFor(ctx, 3))
	f.View(func() { is.Equal(folder.Entries, []string{"a", "lost", "late"}) })

	s.SetFaults(drstandin.LogFaults{})
	s.Truncate("s", 3)
	_, err = h.Read(ctx, "s", 1, 10, 0)
	gap, ok := errors.AsType[*drlog.GapError](err)
	is.True(ok)
	is.Equal(gap.First, uint64(3))
	is.Equal(gap.Next, uint64(4))

	s.Close()
	h.Close()
	_, err = appendEntry("nobody listens")
	is.Equal(drerror.VerdictOf(err), drerror.NotRun)
}
