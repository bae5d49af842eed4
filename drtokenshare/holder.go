package drtokenshare

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drcollection"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// HolderConfig configures a Holder. All fields are required; Shares must be the state
// to which Journal applies its records.
type HolderConfig struct {
	Clock    drclock.Clock
	View     drmember.View
	Shares   *Shares
	Journal  Journal
	Limits   Limits
	Recorder drtimeline.Recorder
}

// Holder is the lending side of a VM: it refills and lends the shares that this VM
// holds, and acquires shares that no VM holds. It is safe for concurrent use.
type Holder struct {
	config   HolderConfig
	self     process
	mu       sync.Mutex
	accounts map[string]*heldAccount
	// releasing holds the shares that are being given up and are not lent any
	// more, with the offset of the record by which this VM got them.
	releasing map[shareKey]uint64
	// everHeld holds the names of the accounts of which this process has held
	// shares. They never start with a full bucket again.
	everHeld   drcollection.Set[string]
	acquireNow chan struct{}
	draining   bool
}

// NewHolder returns a holder that lends the shares assigned to this process by
// c.Shares. It acquires shares only while Run is running.
func NewHolder(c HolderConfig) *Holder {
	m := c.View.Self()
	return &Holder{
		config: c, self: process{m.VM, m.Incarnation},
		accounts: make(map[string]*heldAccount), releasing: make(map[shareKey]uint64),
		everHeld: make(drcollection.Set[string]), acquireNow: make(chan struct{}, 1),
	}
}

// AcquireNow makes Run check at once for shares that no VM holds. Call it when the
// configuration has changed, because new client accounts have such shares. It does
// not block.
func (h *Holder) AcquireNow() {
	select {
	case h.acquireNow <- struct{}{}:
	default:
	}
}

// Register adds the handlers of the Borrow and Return calls from other VMs.
func (h *Holder) Register(r drpeer.Registry) {
	r.Handle(methodBorrow, h.handleBorrow)
	r.Handle(methodReturn, h.handleReturn)
}

func (h *Holder) handleBorrow(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var m drpb.BorrowRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "borrow request cannot be decoded")
	}
	return h.borrow(m.GetAccount(), m.GetTokens()), nil
}

func (h *Holder) handleReturn(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	var m drpb.ReturnRequest
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, drerror.Wrap(drerror.NotRun, drerror.MalformedRequest, err, "return request cannot be decoded")
	}
	h.acceptReturn(&m)
	return &drpb.ReturnReply{}, nil
}

// borrow lends up to tokens of an account. The reply has no loan if this VM lends
// nothing of the account or its bucket is empty.
func (h *Holder) borrow(account string, tokens float64) *drpb.BorrowReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Clock.Now()
	b, shares := h.currentBucket(account, now)
	if b == nil {
		return &drpb.BorrowReply{Incarnation: h.self.incarnation}
	}
	id, amount := b.lend(tokens, now)
	return &drpb.BorrowReply{
		Loan: id, Incarnation: h.self.incarnation, Tokens: amount,
		Level: b.level, Shares: uint32(shares),
	}
}

// acceptReturn applies a borrower's reports on its loans. Reports on loans of an
// earlier process of this VM are ignored, because this process did not lend them.
func (h *Holder) acceptReturn(m *drpb.ReturnRequest) {
	if m.GetIncarnation() != h.self.incarnation {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Clock.Now()
	b, _ := h.currentBucket(m.GetAccount(), now)
	if b == nil {
		return
	}
	for _, p := range m.GetParts() {
		b.applyReport(report{p.GetLoan(), p.GetSequence(), p.GetUnused(), p.GetUsed(), p.GetRefund()}, now)
	}
}

// currentBucket returns the bucket of an account, refilled up to now, and its number
// of active shares. The bucket is nil if this VM lends nothing of the account. The
// caller holds h.mu.
func (h *Holder) currentBucket(account string, now time.Time) (*bucket, int) {
	limit, ok := h.config.Limits.Limit(account)
	shares := h.config.Shares.heldCount(account, h.self)
	for k, offset := range h.releasing {
		if k.account == account && h.holds(k, offset) {
			shares--
		}
	}
	if !ok || shares <= 0 || h.draining {
		// If this VM gets shares of the account again, they start empty.
		delete(h.accounts, account)
		return nil, 0
	}
	held := h.accounts[account]
	if held == nil {
		held = h.openAccount(account, limit, shares, now)
	}
	active := held.update(shares, now)
	held.bucket.update(limit, float64(active)/ShareCount, now)
	return held.bucket, active
}

// openAccount creates the state of an account of which this VM has got shares. The
// bucket starts empty, because an earlier holder may have lent the burst. It starts
// full if this process has not held shares of the account before and its shares never
// had another holder: then none of their tokens have been lent, and the account's
// first requests would be refused for no reason.
func (h *Holder) openAccount(account string, limit drconfig.Limit, shares int, now time.Time) *heldAccount {
	held := &heldAccount{bucket: newBucket(limit, 0, now), openedAt: now}
	if !h.everHeld.Has(account) && h.config.Shares.isFirstHolder(account, h.self) {
		fraction := float64(shares) / ShareCount
		held = &heldAccount{bucket: newBucket(limit, fraction, now), activeShares: shares, heldShares: shares, openedAt: now}
		held.bucket.level = held.bucket.capacity()
	}
	h.everHeld.Add(account)
	h.accounts[account] = held
	return held
}

// recentlyOpened reports whether this VM began to hold an account so recently that
// its bucket may be empty only because it started empty. Its replies then don't show
// that the account is over its rate.
func (h *Holder) recentlyOpened(account string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.accounts[account]
	return held != nil && h.config.Clock.Now().Sub(held.openedAt) < maxNoReplyWait
}

// holds reports whether this process still holds a share by the record at offset.
func (h *Holder) holds(k shareKey, offset uint64) bool {
	return h.config.Shares.holder(k.account, k.share) == shareHolder{h.self, offset}
}

// Run acquires and balances shares every acquireInterval until ctx ends. Call it
// once.
func (h *Holder) Run(ctx context.Context) {
	for {
		if err := h.balanceShares(ctx); err != nil && ctx.Err() == nil {
			h.config.Recorder.Record(drtimeline.Event{Name: drtimeline.SharesNotAcquired, Detail: fmt.Sprintf("error=%q", err)})
		}
		h.openBuckets()
		t := h.config.Clock.NewTimer(acquireInterval)
		select {
		case <-t.C():
		case <-h.acquireNow:
		case <-ctx.Done():
		}
		t.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// openBuckets brings the buckets of all accounts up to date, so that those of new
// shares are refilled from now on and not only from the first borrow request.
func (h *Holder) openBuckets() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Clock.Now()
	for _, a := range h.config.Limits.Accounts() {
		h.currentBucket(a, now)
	}
}

// balanceShares appends claims for the shares that this VM should hold, and releases
// of shares that it holds beyond its fair number. It does nothing while the VM is
// draining.
func (h *Holder) balanceShares(ctx context.Context) error {
	h.mu.Lock()
	draining := h.draining
	h.mu.Unlock()
	if draining {
		return nil
	}
	var changes []*drpb.ShareChange
	candidates := h.config.View.Candidates()
	for _, a := range h.config.Limits.Accounts() {
		changes = append(changes, h.claims(a, candidates)...)
		h.startRelease(a, len(candidates))
	}
	h.mu.Lock()
	for k, offset := range h.releasing {
		if h.holds(k, offset) {
			changes = append(changes, h.newChange(k, offset, true))
		} else {
			delete(h.releasing, k)
		}
	}
	h.mu.Unlock()
	return h.appendChanges(ctx, changes)
}

// claims returns this VM's claims for those shares of an account that certainly have
// no holder. Each share goes to the candidate with the fewest shares, and among
// several of them by rendezvous hashing, so that the loss of a VM affects as few
// shares as possible. VMs whose views differ may claim the same share; the log
// decides. The shares of an earlier process on this VM are claimed at once, because
// that process has ended even if the member list still shows it.
func (h *Holder) claims(account string, candidates []drmember.Member) []*drpb.ShareChange {
	counts := make(map[string]int)
	var unheld []shareKey
	for s := range uint32(ShareCount) {
		k := shareKey{account, s}
		old := h.config.Shares.holder(account, s)
		if old.vm == "" || h.config.View.Gone(old.vm) || old.vm == h.self.vm && old.incarnation < h.self.incarnation {
			unheld = append(unheld, k)
		} else {
			counts[old.vm]++
		}
	}
	var changes []*drpb.ShareChange
	for _, k := range unheld {
		ranked := drmember.Rank(fmt.Sprintf("%s/%d", account, k.share), candidates)
		if len(ranked) == 0 {
			return nil
		}
		claimant := ranked[0].VM
		for _, m := range ranked {
			if counts[m.VM] < counts[claimant] {
				claimant = m.VM
			}
		}
		counts[claimant]++
		old := h.config.Shares.holder(account, k.share)
		if claimant == h.self.vm || old.vm == h.self.vm {
			changes = append(changes, h.newChange(k, old.offset, false))
		}
	}
	return changes
}

// startRelease begins to give up one share of an account if this VM holds more than
// its fair number, as the first VM of a starting fleet does. It gives up one at a
// time. Lending of the share stops before the release is appended to the log, so that
// two VMs never refill the same share.
func (h *Holder) startRelease(account string, candidates int) {
	fairCount := (ShareCount + max(1, candidates) - 1) / max(1, candidates)
	h.mu.Lock()
	defer h.mu.Unlock()
	var held []shareKey
	for _, k := range h.config.Shares.keysOfAccount(account, h.self) {
		if _, ok := h.releasing[k]; ok {
			return
		}
		held = append(held, k)
	}
	if len(held) > fairCount {
		k := held[len(held)-1]
		h.releasing[k] = h.config.Shares.holder(k.account, k.share).offset
	}
}

// newChange returns this process's claim or release of a share. It takes effect only
// if the share's last change is still the one at offset basedOn, 0 for none.
func (h *Holder) newChange(k shareKey, basedOn uint64, release bool) *drpb.ShareChange {
	return &drpb.ShareChange{
		Account: k.account, Share: k.share, Vm: h.self.vm, Incarnation: h.self.incarnation,
		BasedOn: basedOn, Release: release,
	}
}

// appendChanges appends changes to the log as one record and waits until this VM has
// applied it.
func (h *Holder) appendChanges(ctx context.Context, changes []*drpb.ShareChange) error {
	if len(changes) == 0 {
		return nil
	}
	data, err := proto.Marshal(&drpb.ShareEntry{Changes: changes})
	if err != nil {
		return err
	}
	offset, err := h.config.Journal.Append(ctx, data)
	if err != nil {
		return err
	}
	return h.config.Journal.WaitFor(ctx, offset)
}

// Drain stops lending and gives up all shares. It retries until this VM has applied
// the releases from the log. If ctx ends first, it returns the error of ctx joined with
// that of the last append.
func (h *Holder) Drain(ctx context.Context) error {
	h.mu.Lock()
	h.draining = true
	clear(h.accounts)
	h.mu.Unlock()
	var lastErr error
	for {
		var changes []*drpb.ShareChange
		for _, k := range h.config.Shares.keysOf(h.self) {
			changes = append(changes, h.newChange(k, h.config.Shares.holder(k.account, k.share).offset, true))
		}
		if len(changes) == 0 {
			return nil
		}
		if lastErr = h.appendChanges(ctx, changes); lastErr == nil {
			continue
		}
		if err := h.config.Clock.Sleep(ctx, minBackoff); err != nil {
			return errors.Join(err, lastErr)
		}
	}
}
