package drlog_test

import (
	"context"
	"crypto/sha256"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// part appends one snapshot part that is wrong where the test wants it.
func (w *world) part(attempt string, covers uint64, index, count int, whole, data string) {
	sum := sha256.Sum256([]byte(whole))
	b, _ := proto.Marshal(&drpb.LogRecord{Version: 1, Body: &drpb.LogRecord_SnapshotPart{SnapshotPart: &drpb.LogSnapshotPart{
		Attempt: attempt, Covers: covers, Index: uint32(index), Count: uint32(count), Hash: sum[:], Data: []byte(data),
	}}})
	if _, err := w.log.Append(context.Background(), "s", b); err != nil {
		w.t.Fatal(err)
	}
}

const good = `{"Last":3,"Entries":["a","b","c"]}`

// Guards against a start from a snapshot that is unfinished, corrupt, too old
// or unreadable, and against records lost between snapshot and tail.
func TestStartAfterGap(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.append("a", "b", "c")
	w.part("dying", 3, 0, 2, good, good[:9])                             // 4: never finished
	w.append("d")                                                        // 5
	w.part("corrupt", 5, 0, 1, good, strings.Replace(good, "b", "z", 1)) // 6: hash differs
	w.part("unreadable", 3, 0, 1, "junk", "junk")                        // 7: Restore fails
	w.part("old", 1, 0, 1, good, good)                                   // 8: does not reach the first record
	w.part("future", 99, 0, 1, good, good)                               // 9: covers what it cannot
	w.part("good", 3, 0, 2, good, good[:9])                              // 10
	w.append("e")                                                        // 11
	w.part("good", 3, 1, 2, good, good[9:])                              // 12
	w.log.truncate(4)
	v := w.vm("v", nil)
	w.run(v)
	w.caughtUp(v, 12)
	is.Equal(v.entries(), "abcde")
	w.until("ready", func() bool {
		select {
		case <-v.follower.Ready():
			return true
		default:
			return false
		}
	})
}

// Guards against a follower that goes on after a gap without the lost records,
// or hides the gap behind a confirmation.
func TestGapWhileFollowing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.append("a")
	v := w.vm("v", nil)
	stop := w.run(v)
	w.caughtUp(v, 1)
	stop()
	w.append("b", "c", "d") // 2 to 4
	w.log.truncate(4)
	w.run(v)
	confirmed := v.follower.Confirmed()
	w.pass(3 * time.Second)
	is.Equal(v.entries(), "a")
	is.Equal(v.follower.Confirmed(), confirmed)
	w.part("good", 3, 0, 1, good, good) // 5
	w.caughtUp(v, 5)
	is.Equal(v.entries(), "abcd")
}

// Guards against a stream whose last snapshot is removed by retention because
// nothing was appended, and against snapshots that a new VM cannot start from.
func TestSnapshotsOutliveRetention(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	const retention = 30 * time.Second
	big := strings.Repeat("x", 600<<10) // needs several parts
	w.append(big)
	v := w.vm("v", func(c *drlog.FollowerConfig) {
		c.Retention, c.IsSnapshotter = retention, func() bool { return true }
	})
	w.run(v)
	for passed := time.Duration(0); passed < 3*retention; passed += time.Second {
		w.pass(time.Second)
		w.log.mu.Lock()
		for len(w.log.records) > 0 && w.clock.Since(w.log.records[0].Time) > retention {
			w.log.records = w.log.records[1:]
		}
		w.log.mu.Unlock()
	}
	is.True(w.log.next > 1+3)  // more than one snapshot of three parts
	is.True(w.log.next < 1+60) // but not one after another
	n := w.vm("n", func(c *drlog.FollowerConfig) { c.Peers = nil })
	w.run(n)
	w.caughtUp(n, w.log.next-1)
	is.Equal(n.entries(), big)
}

// Guards against a VM that cannot start while the log is down, and against a
// relayed confirmation that counts as newer than the peer's own.
func TestBootstrapFromPeer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	old := w.vm("old", func(c *drlog.FollowerConfig) { c.Peers = nil })
	w.append(strings.Repeat("x", 5<<20), "a", "b") // the first record leaves the tail
	w.run(old)
	w.caughtUp(old, 3)
	w.log.set(true)
	w.pass(10 * time.Second)
	n := w.vm("n", nil)
	w.run(n)
	w.caughtUp(n, 3)
	is.Equal(n.entries(), old.entries())
	<-n.follower.Ready()
	is.True(!n.follower.Confirmed().After(old.follower.Confirmed()))
	is.True(w.clock.Since(n.follower.Confirmed()) >= 10*time.Second)

	w.log.set(false)
	w.append("c")
	w.caughtUp(n, 4)
	is.True(strings.HasSuffix(n.entries(), "abc"))
}

// Guards against a follower that takes an older state, from a peer or from a
// log that lost records, or calls it confirmed.
func TestNoGoingBack(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.append("a")
	old := w.vm("old", nil)
	stop := w.run(old)
	w.caughtUp(old, 1)
	stop()
	w.append("b", "c")
	v := w.vm("v", nil)
	w.run(v)
	w.caughtUp(v, 3)
	w.log.mu.Lock()
	w.log.records, w.log.next = nil, 2
	w.log.mu.Unlock()
	w.pass(3 * time.Second) // reads that began before may still confirm
	confirmed := v.follower.Confirmed()
	w.pass(5 * time.Second)
	is.Equal(v.follower.Offset(), uint64(3))
	is.Equal(v.entries(), "abc")
	is.Equal(v.follower.Confirmed(), confirmed)
}

// Guards against a reader that crashes on, or folds, records of other formats.
func TestForeignRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	newer, _ := proto.Marshal(&drpb.LogRecord{Version: 2, Body: &drpb.LogRecord_Entry{Entry: []byte("x")}})
	_, _ = w.log.Append(context.Background(), "s", newer)
	_, _ = w.log.Append(context.Background(), "s", []byte{0xff, 0xff})
	w.append("a")
	v := w.vm("v", nil)
	w.run(v)
	is.NoErr(func() error { w.caughtUp(v, 3); return v.follower.WaitFor(context.Background(), 3) }())
	is.Equal(v.entries(), "a")
	// A state that lacks the newer record must not spread.
	_, err := w.vm("n", nil).relay.FetchState(context.Background(), "s", 0)
	is.True(err != nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(v.follower.WaitFor(ctx, 4) != nil)
}
