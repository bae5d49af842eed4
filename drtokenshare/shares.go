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

// Shares is the fold of the stream "shares": which VM holds which share. It
// is safe for concurrent use.
type Shares struct {
	mu     sync.RWMutex
	shares map[shareKey]shareHolder
	// counts is the number of shares by account and holder.
	counts map[string]map[process]int
	// firstClaims holds the shares that had no holder before the change at the
	// offset, so that no loan of an earlier holder can exist.
	firstClaims map[shareKey]uint64
}

type shareKey struct {
	account string
	share   uint32
}

// process is one run of the program on a VM.
type process struct {
	vm          string
	incarnation uint64
}

// shareHolder is the holder as of the change at offset; an empty process
// means that the share was given up.
type shareHolder struct {
	process
	offset uint64
}

var _ drlog.Folder = (*Shares)(nil)

// NewShares returns the state of an empty stream.
func NewShares() *Shares {
	return &Shares{shares: make(map[shareKey]shareHolder), counts: make(map[string]map[process]int), firstClaims: make(map[shareKey]uint64)}
}

// Apply implements drlog.Folder.
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

// apply accepts a change only if its author knew the current holder, and if
// it does not go back to an earlier process of the same VM.
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

// heldCount returns how many shares of account the process p holds.
func (s *Shares) heldCount(account string, p process) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.counts[account][p]
}

// isFirstHolder reports whether p is the first holder of all its shares of the
// account.
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

// HeldBy returns how many shares of the account a VM holds.
func (s *Shares) HeldBy(account, vm string) int {
	n := 0
	for _, h := range s.holders(account) {
		if h.vm == vm {
			n += h.shares
		}
	}
	return n
}

// holder returns the holder of one share.
func (s *Shares) holder(account string, share uint32) shareHolder {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.shares[shareKey{account, share}]
}

// holderCount is a holder and its number of shares.
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

// keysOf returns the shares that p holds, sorted.
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

// Snapshot implements drlog.Folder.
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
		return nil // only for strings that are not UTF-8, which Apply never takes
	}
	return b
}

// Restore implements drlog.Folder.
func (s *Shares) Restore(_ uint64, snapshot []byte) error {
	var m drpb.ShareSnapshot
	if err := proto.Unmarshal(snapshot, &m); err != nil {
		return fmt.Errorf("snapshot of stream %q: %w", drlog.StreamShares, err)
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
