package drcapacity

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// logRecordBytes is the size of the records in measurements of the log: about
// that of a change of one key, and of a placement record with its envelope.
const logRecordBytes = 200

// discardFolder is a Folder that keeps nothing.
type discardFolder struct{}

func (discardFolder) Apply(drlog.Record)           {}
func (discardFolder) Snapshot() []byte             { return nil }
func (discardFolder) Restore(uint64, []byte) error { return nil }

// log measures reads by the number of records in the answer, appends by the
// size of the record, and the memory of a follower by the number of recent
// records that it keeps. The processor time includes the stand-in of the log,
// which runs in this process.
func (b *bench) log() error {
	l := drstandin.NewLog(drstandin.LogConfig{AppendRate: 1e9})
	if err := l.Start(); err != nil {
		return err
	}
	defer l.Close()
	ctx := context.Background()
	client := drlog.NewHTTP(drlog.HTTPConfig{Address: l.Address()})
	for _, n := range []int{0, 4, 16, 64, 256} {
		stream := fmt.Sprint("read-", n)
		for range n {
			l.Append(stream, bytes.Repeat([]byte{7}, logRecordBytes))
		}
		if err := b.cpu("log-read", "log-read-bytes", "records", float64(n), func() error {
			_, err := client.Read(ctx, stream, 1, 1000, 0)
			return err
		}); err != nil {
			return err
		}
	}
	for _, n := range []int{100, 1000, 4000, 16000} {
		data := bytes.Repeat([]byte{7}, n)
		if err := b.cpu("log-append", "log-append-bytes", "bytes", float64(n), func() error {
			_, err := client.Append(ctx, fmt.Sprint("append-", n), data)
			return err
		}); err != nil {
			return err
		}
	}
	for _, n := range []int{64, 256, 1024, 4096} {
		stream := fmt.Sprint("tail-", n)
		for range n {
			l.Append(stream, bytes.Repeat([]byte{7}, logRecordBytes))
		}
		b.memory("follower-memory", "records", float64(n), func() any { return caughtUpFollower(client, stream) })
	}
	return nil
}

// caughtUpFollower returns a stopped follower that has read the whole stream.
func caughtUpFollower(client drlog.Log, stream string) *drlog.Follower {
	f := drlog.NewFollower(drlog.FollowerConfig{Log: client, Stream: stream, Folder: discardFolder{}, Clock: drclock.System{}, Retention: 24 * time.Hour})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	<-f.Ready()
	cancel()
	<-done
	return f
}
