package drtokenshare

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drpb"
)

// Shares says which VM holds which share. It is the state that results from applying
// the records of the stream "shares" in order. It is safe for concurrent use.
type Shares struct {
	mu     sync.RWMutex
	shares map[shareKey]shareHolder
	// counts is the number of shares by account and holder.
	counts map[string]map[process]int
	// firstClaims holds the offset of the first claim of each share. Its claimant
	// knows that no loan of an earlier holder can exist. Shares restored from a
	// snapshot have no entry.
	firstClaims map[shareKey]uint64
}

// shareKey identifies one share of an account; share is less than ShareCount.
type shareKey struct {
	account string
	share   uint32
}

// process is one run of the program on a VM. The incarnation rises with each restart.
type process struct {
	vm          string
	incarnation uint64
}

// shareHolder is the holder of a share since the record at offset. An empty process
// means that the share was given up, and offset 0 that it was never claimed.
type shareHolder struct {
	process
	offset uint64
}

var _ drlog.Folder = (*Shares)(nil)

// NewShares returns the state of an empty stream, in which no share has a holder.
func NewShares() *Shares {
	return &Shares{shares: make(map[shareKey]shareHolder), counts: make(map[string]map[process]int), firstClaims: make(map[shareKey]uint64)}
}

// Apply implements drlog.Folder. A record that cannot be decoded changes nothing, on
// every VM alike.
func (s *Shares) Apply(r drlog.Record) {
	var e drpb.ShareEntry
	if proto.Unmarshal(r.Data, &e) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range e.GetChanges() {
		s.apply(r.Offset, c)
	}
}

// apply applies a change, or ignores it if its author did not know the last change of
// the share, if it releases a share that the author does not hold, or if it claims a
// share for the same or an earlier process of the VM that holds it.
func (s *Shares) apply(offset uint64, c *drpb.ShareChange) {
	k := shareKey{c.GetAccount(), c.GetShare()}
	author := process{c.GetVm(), c.GetIncarnation()}
	if k.share >= ShareCount || k.account == "" || author.vm == "" {
		return
	}
	old := s.shares[k]
	if old.offset != c.GetBasedOn() || old.offset == offset {
		return
	}
	switch {
	case c.GetRelease() && old.process != author:
		return
	case c.GetRelease():
		s.set(k, shareHolder{offset: offset})
	case old.vm == author.vm && old.incarnation >= author.incarnation:
		return
	default:
		if old.offset == 0 {
			s.firstClaims[k] = offset
		}
		s.set(k, shareHolder{author, offset})
	}
}

// set sets the holder of a share and updates the counts. The caller holds s.mu.
func (s *Shares) set(k shareKey, h shareHolder) {
	m := s.counts[k.account]
	if m == nil {
		m = make(map[process]int)
		s.counts[k.account] = m
	}
	if old := s.shares[k].process; old.vm != "" {
		if m[old]--; m[old] == 0 {
			delete(m, old)
		}
	}
	if h.vm != "" {
		m[h.process]++
	}
	s.shares[k] = h
}

// heldCount returns the number of shares of an account that process p holds.
func (s *Shares) heldCount(account string, p process) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.counts[account][p]
}

// isFirstHolder reports whether p got each of its shares of the account by the first
// claim of that share.
func (s *Shares) isFirstHolder(account string, p process) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for i := range uint32(ShareCount) {
		k := shareKey{account, i}
		if h := s.shares[k]; h.process == p && s.firstClaims[k] != h.offset {
			return false
		}
	}
	return true
}

// HeldBy returns the number of shares of an account that a VM holds, over all its
// processes.
func (s *Shares) HeldBy(account, vm string) int {
	n := 0
	for _, h := range s.holders(account) {
		if h.vm == vm {
			n += h.shares
		}
	}
	return n
}

// holder returns the holder of one share; it is the zero value if the share was never
// claimed.
func (s *Shares) holder(account string, share uint32) shareHolder {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shares[shareKey{account, share}]
}

// holderCount is a holder and the number of shares of one account that it holds.
type holderCount struct {
	process
	shares int
}

// holders returns the holders of an account's shares, sorted by VM.
func (s *Shares) holders(account string) []holderCount {
	s.mu.RLock()
	defer s.mu.RUnlock()
	holders := make([]holderCount, 0, len(s.counts[account]))
	for p, n := range s.counts[account] {
		holders = append(holders, holderCount{p, n})
	}
	slices.SortFunc(holders, func(a, b holderCount) int { return cmp.Compare(a.vm, b.vm) })
	return holders
}

// keysOfAccount returns the shares of one account that p holds, sorted.
func (s *Shares) keysOfAccount(account string, p process) []shareKey {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var keys []shareKey
	for i := range uint32(ShareCount) {
		if k := (shareKey{account, i}); s.shares[k].process == p {
			keys = append(keys, k)
		}
	}
	return keys
}

// keysOf returns the shares of all accounts that p holds, sorted.
func (s *Shares) keysOf(p process) []shareKey {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var keys []shareKey
	for k, h := range s.shares {
		if h.process == p {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b shareKey) int {
	return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.share, b.share))
}

// Snapshot implements drlog.Folder. Equal states yield equal bytes.
func (s *Shares) Snapshot() []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var m drpb.ShareSnapshot
	for k, h := range s.shares {
		m.Shares = append(m.Shares, &drpb.ShareState{
			Account: k.account, Share: k.share, Vm: h.vm, Incarnation: h.incarnation, Offset: h.offset,
		})
	}
	slices.SortFunc(m.Shares, func(a, b *drpb.ShareState) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Share, b.Share))
	})
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&m)
	if err != nil {
		return nil // only for strings that are not UTF-8, which Apply rejects
	}
	return b
}

// Restore implements drlog.Folder. It replaces the whole state. If the snapshot cannot
// be decoded, it returns an error and leaves the state as it is.
func (s *Shares) Restore(_ uint64, snapshot []byte) error {
	var m drpb.ShareSnapshot
	if err := proto.Unmarshal(snapshot, &m); err != nil {
		return fmt.Errorf("cannot decode snapshot of stream %q: %w", drlog.StreamShares, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.shares)
	clear(s.counts)
	clear(s.firstClaims)
	for _, h := range m.GetShares() {
		p := process{h.GetVm(), h.GetIncarnation()}
		s.set(shareKey{h.GetAccount(), h.GetShare()}, shareHolder{p, h.GetOffset()})
	}
	return nil
}
