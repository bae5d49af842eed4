package drfleetview

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Buckets is the number of buckets into which runners are divided by their ids, so
// that two VMs find out where their tables differ. It is part of the messages between
// VMs and must not change.
const Buckets = 128

// bucket is one part of the table. digest combines those of its listed entries in any
// order, and version grows with each change of one, also those that the digest leaves out.
type bucket struct {
	entries []*entry
	digest  uint64
	version uint64
}

// BucketOf returns the bucket of a runner, less than Buckets.
func BucketOf(id string) int { return int(xxhash.Sum64String(id) % Buckets) }

// Digests returns the digest of each bucket. Equal digests mean that the listed
// runners and all that matters to requests of other VMs are the same.
func (v *View) Digests() []uint32 {
	v.mu.Lock()
	defer v.mu.Unlock()
	digests := make([]uint32, Buckets)
	for i := range v.buckets {
		digests[i] = uint32(v.buckets[i].digest)
	}
	return digests
}

// BucketVersion returns the version of a bucket, and whether some of its runners are cold.
func (v *View) BucketVersion(i int) (version uint64, cold bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	uptime := v.clock.Uptime()
	return v.buckets[i].version, slices.ContainsFunc(v.buckets[i].entries, func(e *entry) bool {
		return !e.removed && v.coldLeft(e, uptime) > 0
	})
}

// Bucket returns the listed runners of a bucket as changes, sorted by id, and its digest.
func (v *View) Bucket(i int) (runners []Change, digest uint32) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := &v.buckets[i]
	uptime := v.clock.Uptime()
	for _, e := range b.entries {
		if !e.removed {
			runners = append(runners, Change{Runner: e.runner, Cold: e.statedCold(uptime)})
		}
	}
	slices.SortFunc(runners, func(a, b Change) int { return cmp.Compare(a.Runner.ID, b.Runner.ID) })
	return runners, uint32(b.digest)
}

// updateDigest brings the digest of an entry's bucket up to date and reports whether it
// changed. The caller holds mu.
func (v *View) updateDigest(e *entry) bool {
	digest := uint64(0)
	if !e.removed {
		digest = digestOf(e.runner, e.coldUntil > v.clock.Uptime())
	}
	if digest == e.digest {
		return false
	}
	v.buckets[BucketOf(e.runner.ID)].digest ^= e.digest ^ digest
	e.digest = digest
	return true
}

// digestOf returns a digest of what matters to requests on other VMs, never 0. Copies on
// disk and in memory are left out, because only the controller uses them, and so is the
// number of orders: a new controller counts them only once it has asked the runner, which
// is logged as a change of its own.
func digestOf(r *drfleet.Runner, cold bool) uint64 {
	var b []byte
	text := func(s string) {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	number := func(n int64) { b = binary.AppendVarint(b, n) }
	text(r.ID)
	text(r.Service)
	text(r.Address)
	text(r.Zone)
	text(r.Version)
	number(r.Started)
	number(int64(r.Slots))
	if r.Draining {
		number(1)
	}
	if cold {
		number(2)
	}
	for _, p := range r.Replicas {
		text(p.Model)
		number(int64(p.Version))
		number(int64(len(p.Adapters)))
		for _, a := range p.Adapters {
			text(a)
		}
	}
	return max(xxhash.Sum64(b), 1)
}
