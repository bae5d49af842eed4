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

// appendPart appends one snapshot part with the hash of whole. To make the part
// invalid, a test passes a wrong offset, or data that is not part of whole.
func (cluster *testCluster) appendPart(attempt string, covers uint64, index, count int, whole, data string) {
	sum := sha256.Sum256([]byte(whole))
	record, _ := proto.Marshal(&drpb.LogRecord{Version: 1, Body: &drpb.LogRecord_SnapshotPart{SnapshotPart: &drpb.LogSnapshotPart{
		Attempt: attempt, Covers: covers, Index: uint32(index), Count: uint32(count), Hash: sum[:], Data: []byte(data),
	}}})
	if _, err := cluster.log.Append(context.Background(), "s", record); err != nil {
		cluster.t.Fatal(err)
	}
}

// goodSnapshot is the encoded state of an entryList after a, b and c.
const goodSnapshot = `{"Last":3,"Entries":["a","b","c"]}`

// Guards against a new VM that starts from a snapshot that is unfinished, corrupt,
// too old, unreadable or claims to cover later records, and against losing the
// records after the snapshot. The log has removed the first records, so the VM must
// search the retained ones for a valid snapshot.
func TestStartAfterGap(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.append("a", "b", "c")
	cluster.appendPart("dying", 3, 0, 2, goodSnapshot, goodSnapshot[:9])                             // 4: never finished
	cluster.append("d")                                                                              // 5
	cluster.appendPart("corrupt", 5, 0, 1, goodSnapshot, strings.Replace(goodSnapshot, "b", "z", 1)) // 6: hash differs
	cluster.appendPart("unreadable", 3, 0, 1, "junk", "junk")                                        // 7: Restore fails
	cluster.appendPart("old", 1, 0, 1, goodSnapshot, goodSnapshot)                                   // 8: does not reach the first record
	cluster.appendPart("future", 99, 0, 1, goodSnapshot, goodSnapshot)                               // 9: covers what it cannot
	cluster.appendPart("good", 3, 0, 2, goodSnapshot, goodSnapshot[:9])                              // 10
	cluster.append("e")                                                                              // 11
	cluster.appendPart("good", 3, 1, 2, goodSnapshot, goodSnapshot[9:])                              // 12
	cluster.log.truncate(4)
	v := cluster.newVM("v", nil)
	cluster.run(v)
	cluster.waitForOffset(v, 12)
	is.Equal(v.entries(), "abcde")
	cluster.waitUntil("ready", func() bool {
		select {
		case <-v.follower.Ready():
			return true
		default:
			return false
		}
	})
}

// Guards against a follower that continues after a gap without the removed records,
// or counts as up to date while it lacks them. The gap arises because the log
// removes records while the VM is stopped; only a snapshot closes it.
func TestGapWhileFollowing(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.append("a")
	v := cluster.newVM("v", nil)
	stop := cluster.run(v)
	cluster.waitForOffset(v, 1)
	stop()
	cluster.append("b", "c", "d") // 2 to 4
	cluster.log.truncate(4)
	cluster.run(v)
	confirmed := v.follower.Confirmed()
	cluster.advance(3 * time.Second)
	is.Equal(v.entries(), "a")
	is.Equal(v.follower.Confirmed(), confirmed)
	cluster.appendPart("good", 3, 0, 1, goodSnapshot, goodSnapshot) // 5
	cluster.waitForOffset(v, 5)
	is.Equal(v.entries(), "abcd")
}

// Guards against a stream whose only snapshot is removed by retention because no
// entries are appended and no new snapshot is due, and against snapshots of several
// parts that a new VM cannot start from.
func TestSnapshotsOutliveRetention(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	const retention = 30 * time.Second
	big := strings.Repeat("x", 600<<10) // three parts
	cluster.append(big)
	v := cluster.newVM("v", func(c *drlog.FollowerConfig) {
		c.Retention, c.IsSnapshotter = retention, func() bool { return true }
	})
	cluster.run(v)
	for passed := time.Duration(0); passed < 3*retention; passed += time.Second {
		cluster.advance(time.Second)
		cluster.log.mu.Lock()
		for len(cluster.log.records) > 0 && cluster.clock.Since(cluster.log.records[0].Time) > retention {
			cluster.log.records = cluster.log.records[1:]
		}
		cluster.log.mu.Unlock()
	}
	is.True(cluster.log.next > 1+3)  // more than one snapshot of three parts
	is.True(cluster.log.next < 1+60) // but not one after another
	n := cluster.newVM("n", func(c *drlog.FollowerConfig) { c.Peers = nil })
	cluster.run(n)
	cluster.waitForOffset(n, cluster.log.next-1)
	is.Equal(n.entries(), big)
}

// Guards against a VM that cannot start from a peer's state while the log is down,
// and against a relayed confirmation that counts as newer than the peer's own.
func TestBootstrapFromPeer(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	old := cluster.newVM("old", func(c *drlog.FollowerConfig) { c.Peers = nil })
	cluster.append(strings.Repeat("x", 5<<20), "a", "b") // the first record is larger than maxTailBytes and is dropped from the recent records
	cluster.run(old)
	cluster.waitForOffset(old, 3)
	cluster.log.setDown(true)
	cluster.advance(10 * time.Second)
	n := cluster.newVM("n", nil)
	cluster.run(n)
	cluster.waitForOffset(n, 3)
	is.Equal(n.entries(), old.entries())
	<-n.follower.Ready()
	is.True(!n.follower.Confirmed().After(old.follower.Confirmed()))
	is.True(cluster.clock.Since(n.follower.Confirmed()) >= 10*time.Second)

	cluster.log.setDown(false)
	cluster.append("c")
	cluster.waitForOffset(n, 4)
	is.True(strings.HasSuffix(n.entries(), "abc"))
}

// Guards against a follower that adopts an older state, or counts it as confirmed.
// Here the log loses its records while a peer holds an older state.
func TestNoGoingBack(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	cluster.append("a")
	old := cluster.newVM("old", nil)
	stop := cluster.run(old)
	cluster.waitForOffset(old, 1)
	stop()
	cluster.append("b", "c")
	v := cluster.newVM("v", nil)
	cluster.run(v)
	cluster.waitForOffset(v, 3)
	cluster.log.mu.Lock()
	cluster.log.records, cluster.log.next = nil, 2
	cluster.log.mu.Unlock()
	cluster.advance(3 * time.Second) // reads that started before the loss may still confirm
	confirmed := v.follower.Confirmed()
	cluster.advance(5 * time.Second)
	is.Equal(v.follower.Offset(), uint64(3))
	is.Equal(v.entries(), "abc")
	is.Equal(v.follower.Confirmed(), confirmed)
}

// Guards against a follower that crashes on, or applies, records that are malformed
// or of a newer format, and against passing on a state that lacks such a record.
func TestForeignRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	newer, _ := proto.Marshal(&drpb.LogRecord{Version: 2, Body: &drpb.LogRecord_Entry{Entry: []byte("x")}})
	_, _ = cluster.log.Append(context.Background(), "s", newer)
	_, _ = cluster.log.Append(context.Background(), "s", []byte{0xff, 0xff})
	cluster.append("a")
	v := cluster.newVM("v", nil)
	cluster.run(v)
	is.NoErr(func() error { cluster.waitForOffset(v, 3); return v.follower.WaitFor(context.Background(), 3) }())
	is.Equal(v.entries(), "a")
	// The state lacks the record of the newer format, so peers must not get it.
	_, err := cluster.newVM("n", nil).relay.FetchState(context.Background(), "s", 0)
	is.True(err != nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(v.follower.WaitFor(ctx, 4) != nil)
}
