// Package drlease elects the controller by a lease, which is stored in a log
// with conditional appends. The holder renews the lease; if it stops, another
// VM acquires the lease. The fencing token derives from the offset of the
// record that acquired it.
package drlease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// Lease is the content of one lease record.
type Lease struct {
	// VM, Address and Incarnation identify the process that holds the lease.
	VM          string
	Address     string
	Incarnation uint64
	// Term is the fencing token. It increases with each acquisition.
	Term uint64
	// Released is set if the holder has given up the lease, and Yielded if it did
	// so for a stronger VM.
	Released, Yielded bool
	Handover
}

// Handover is the state that the holder passes on to the next holder in the
// lease.
type Handover struct {
	// VMs is the number of VMs that report to the holder, 0 if unknown.
	VMs int
	// Runners is the number of runners that the holder knows, 0 if unknown.
	Runners int
	// MostProcessor is the part of a core that the strongest of these VMs may
	// use, 0 if unknown.
	MostProcessor float64
	// Levels is the number of tokens left by client account at the time
	// Counted.
	Levels  map[string]float64
	Counted time.Time
	// Versions says which versions of the runners' software have served, as of when the record
	// was sent, nil if unknown.
	Versions *drpb.FleetVersions
	// RecentHolders are the other VMs that held the lease so shortly before
	// that a further holder must know of them. Acquire adds the last one; a
	// holder removes them by renewing with a Handover without them.
	RecentHolders []string
	// AfterYield is set for a lease that was acquired after its last holder had
	// given it up for a stronger VM. It is not stored.
	AfterYield bool
	// LeastAge and MostAge bound the time since the record with this state was sent, for a
	// lease that was acquired, as of then. Counted is less certain: it was read from another
	// VM's time of day. They are not stored.
	LeastAge, MostAge time.Duration
	// HistoryLost is set for a lease that was acquired although earlier records
	// had expired unread, so that RecentHolders may lack some. It is not stored.
	HistoryLost bool
}

func decodeHandover(message *drpb.FleetLease) Handover {
	handover := Handover{VMs: int(message.GetVms()), Runners: int(message.GetRunners()), MostProcessor: message.GetMostProcessor(), Counted: time.UnixMilli(message.GetCountedMs()),
		RecentHolders: message.GetRecentHolders(), Versions: message.GetVersions()}
	if len(message.GetLevels()) > 0 {
		handover.Levels = make(map[string]float64, len(message.GetLevels()))
	}
	for _, l := range message.GetLevels() {
		handover.Levels[l.GetAccount()] = l.GetLevel()
	}
	return handover
}

// Config configures an Elector.
type Config struct {
	Log    drstore.Log
	Uptime drclock.Uptime
	// VM, Address and Incarnation identify this process in the leases that it
	// acquires. Address is where other VMs reach it.
	VM          string
	Address     string
	Incarnation uint64
	// TTL is how long a lease is valid, counted from when its last record was
	// sent.
	TTL time.Duration
}

// acquireMargin is added to the TTL before the lease of another VM counts as
// lapsed, because the clocks of the VMs run at slightly different rates.
const acquireMargin = 100 * time.Millisecond

// eraShift is the number of bits of a fencing token that an offset takes.
const eraShift = 40

// Elector reads and writes the lease. Read, Acquire, Renew and Release must be
// called from one goroutine; the other methods are safe for concurrent use.
type Elector struct {
	config Config
	// next is where the next record is read or appended.
	next drstore.Position

	mu     sync.Mutex
	newest Lease
	// known is set once a lease has been read or written.
	known bool
	// newestOffset is the offset of the newest record, and newestSeenAt the
	// uptime at which it was read or written.
	newestOffset int64
	newestSeenAt time.Duration
	// toldOffset and toldLapse are the offset of the newest record that a
	// holder has told this VM of, and the uptime at which that lapses at the
	// latest. They are valid if told is set.
	told       bool
	toldOffset int64
	toldLapse  time.Duration
	// deniedOffset is the offset of the record whose holder has said that it does not lead.
	// It is valid if denied is set.
	denied       bool
	deniedOffset int64
	// validUntil is the uptime at which this process's own lease lapses.
	validUntil time.Duration
}

// New returns an Elector that knows no lease yet. It makes no call to the log.
func New(c Config) *Elector { return &Elector{config: c} }

// Newest returns the newest lease that was read or written, and false if there
// is none.
func (e *Elector) Newest() (Lease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.known
}

// Holds returns the fencing token of the lease and true if this process holds a
// lease that is valid now. The uptime clock runs on while the VM is suspended,
// so a lease that lapsed meanwhile does not count.
func (e *Elector) Holds() (term uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || !e.isOwn(e.newest) || e.newest.Released || e.config.Uptime.Uptime() >= e.validUntil {
		return 0, false
	}
	return e.newest.Term, true
}

// Validity says how long a lease is valid, as its holder tells it to other VMs.
type Validity struct {
	// Offset is that of the lease's newest record.
	Offset int64
	// Left is the time until the lease lapses if it is not renewed.
	Left time.Duration
}

// Validity returns the validity of this process's own lease. Left is 0 if it
// holds none.
func (e *Elector) Validity() Validity {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || !e.isOwn(e.newest) || e.newest.Released {
		return Validity{}
	}
	return Validity{Offset: e.newestOffset, Left: max(e.validUntil-e.config.Uptime.Uptime(), 0)}
}

// RecordValidity records what the holder of the lease has just told this VM. A
// VM that reads the lease only once it has lost the holder cannot tell how old
// its newest record is; if it is the one that the holder told of, it lapses as
// told instead of a whole TTL after the reading.
func (e *Elector) RecordValidity(v Validity) {
	e.mu.Lock()
	defer e.mu.Unlock()
	lapse := e.config.Uptime.Uptime() + v.Left
	if e.told && v.Offset == e.toldOffset {
		lapse = min(lapse, e.toldLapse)
	}
	e.told, e.toldOffset, e.toldLapse = true, v.Offset, lapse
}

// Deny records that the holder of the newest lease, of a term, has said that it does not
// lead. It may be a later process than the one that acquired the lease.
func (e *Elector) Deny(term uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && e.newest.Term == term {
		e.denied, e.deniedOffset = true, e.newestOffset
	}
}

// Denied reports whether the holder of the lease has said, since its newest record was
// read, that it does not lead.
func (e *Elector) Denied() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.denied && e.deniedOffset == e.newestOffset
}

func (e *Elector) isOwn(l Lease) bool {
	return l.VM == e.config.VM && l.Incarnation == e.config.Incarnation
}

// Read reads the new lease records and brings the newest lease up to date. If
// there is no new record, it waits at the store for up to wait. It reports
// whether it read one.
func (e *Elector) Read(ctx context.Context, wait time.Duration) (changed bool, err error) {
	page, err := e.readPage(ctx, wait)
	if err == nil && page.Era != e.next.Era {
		if e.beginEra(page.Era) {
			page, err = e.readPage(ctx, 0)
		}
	}
	if err != nil {
		return false, fmt.Errorf("read the lease: %w", err)
	}
	for _, r := range page.Records {
		e.applyRecord(r)
	}
	e.next.Next = max(page.Next, page.End)
	return len(page.Records) > 0, nil
}

// readPage reads the next records, or the oldest ones that are kept if those have expired.
func (e *Elector) readPage(ctx context.Context, wait time.Duration) (drstore.Page, error) {
	page, err := e.config.Log.Read(ctx, drstore.Leases, e.next.Next, drstore.MaxPageKB, wait)
	if expired, ok := errors.AsType[*drstore.ExpiredError](err); ok {
		e.next.Next = expired.First
		page, err = e.config.Log.Read(ctx, drstore.Leases, e.next.Next, drstore.MaxPageKB, 0)
	}
	return page, err
}

// beginEra goes back to the first record, because the store has lost some and given out their
// offsets again. It reports whether any had been read.
func (e *Elector) beginEra(era uint64) (readBefore bool) {
	readBefore = e.next.Next > 0
	log.WithFields(log.Fields{"event": "store-era-changed", "topic": drstore.Leases, "from": e.next.Era, "to": era, "offset": e.next.Next}).Warn("")
	e.next = drstore.Position{Era: era}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told, e.denied = false, false // of records by their offsets
	return readBefore
}

// termOf returns the fencing token of a lease whose first record is appended at a position. It
// is higher than those of earlier eras, whose offsets may be given out again.
func termOf(at drstore.Position) uint64 { return at.Era<<eraShift + uint64(at.Next) + 1 }

// FirstOfEra reports whether a lease with a fencing token was acquired when the log had no
// record, or never.
func FirstOfEra(term uint64) bool { return term&(1<<eraShift-1) <= 1 }

// applyRecord makes a record the newest lease unless its term is older.
// Unreadable records are logged and ignored.
func (e *Elector) applyRecord(r drstore.Record) {
	var message drpb.FleetLease
	if err := proto.Unmarshal(r.Value, &message); err != nil {
		log.WithFields(log.Fields{"event": "lease-record-unreadable", "offset": r.Offset}).WithError(err).Warn("")
		return
	}
	l := Lease{message.GetVm(), message.GetAddress(), message.GetIncarnation(), message.GetTerm(), message.GetReleased(), message.GetYielded(), decodeHandover(&message)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Term < e.newest.Term {
		return
	}
	e.newest, e.known, e.newestOffset, e.newestSeenAt = l, true, r.Offset, e.config.Uptime.Uptime()
}

// Vacant reports whether this VM may acquire the lease: because there is none,
// its holder has released it, its holder has not renewed it within the TTL, or
// its holder was an earlier process of this VM.
func (e *Elector) Vacant() bool { return e.VacantIn() <= 0 }

// VacantIn returns the time until this VM may acquire the lease if the holder
// does not renew it, 0 if it may do so now.
func (e *Elector) VacantIn() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	former := e.newest.VM == e.config.VM && e.newest.Incarnation < e.config.Incarnation
	if !e.known || former || e.newest.Released {
		return 0
	}
	lapse := e.newestSeenAt + e.config.TTL
	if e.told && e.toldOffset == e.newestOffset {
		lapse = min(lapse, e.toldLapse)
	}
	return max(lapse+acquireMargin-e.config.Uptime.Uptime(), 0)
}

// Acquire acquires a vacant lease. It must be called after Read and fails with
// drstore.ErrConflict if another VM was faster. The previous holder's Handover
// is kept, with that holder among the recent ones.
func (e *Elector) Acquire(ctx context.Context) error {
	l, known := e.Newest()
	handover := l.Handover
	handover.LeastAge, handover.MostAge = e.newestAge()
	handover.HistoryLost = !known && e.next.Next > 0
	handover.AfterYield = known && l.Yielded
	if known && l.VM != e.config.VM && !slices.Contains(handover.RecentHolders, l.VM) {
		handover.RecentHolders = append(slices.Clone(handover.RecentHolders), l.VM)
	}
	return e.appendLease(ctx, Lease{Term: termOf(e.next), Handover: handover})
}

// newestAge returns bounds of the time since the newest record was sent. It was sent before
// it was read here, and not before the one that a holder has told this VM of. A process that
// was told of none assumes that it was sent within a TTL before.
func (e *Elector) newestAge() (least, most time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return 0, 0
	}
	now := e.config.Uptime.Uptime()
	least = now - e.newestSeenAt
	most = least + e.config.TTL
	if e.told && e.toldOffset <= e.newestOffset {
		told := now - (e.toldLapse - e.config.TTL)
		most = min(most, max(told, least))
	}
	return least, most
}

// Renew extends the lease of this process and replaces its Handover. It fails
// with drstore.ErrConflict if another VM has acquired the lease, or if an
// earlier append without a response took effect. Read tells the two apart.
func (e *Elector) Renew(ctx context.Context, handover Handover) error {
	l, _ := e.Newest()
	return e.appendLease(ctx, Lease{Term: l.Term, Handover: handover})
}

// Release gives up the lease of this process, so that another VM can acquire it
// without waiting for the TTL, and replaces its Handover. yield says that it is
// given up for a stronger VM.
func (e *Elector) Release(ctx context.Context, handover Handover, yield bool) error {
	l, _ := e.Newest()
	return e.appendLease(ctx, Lease{Term: l.Term, Handover: handover, Released: true, Yielded: yield})
}

// appendLease appends a lease record of this process at the end. The
// validity counts from before the call, because the call may take long.
func (e *Elector) appendLease(ctx context.Context, l Lease) error {
	l.VM, l.Address, l.Incarnation = e.config.VM, e.config.Address, e.config.Incarnation
	message := &drpb.FleetLease{
		Vm: l.VM, Address: l.Address, Incarnation: l.Incarnation, Term: l.Term, Released: l.Released, Yielded: l.Yielded, Vms: uint32(l.VMs),
		CountedMs: l.Counted.UnixMilli(), MostProcessor: l.MostProcessor, RecentHolders: l.RecentHolders, Runners: uint32(l.Runners), Versions: l.Versions,
	}
	for account, level := range l.Levels {
		message.Levels = append(message.Levels, &drpb.FleetLevel{Account: account, Level: level})
	}
	value, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode the lease: %w", err)
	}
	sent := e.config.Uptime.Uptime()
	if err := e.config.Log.Append(ctx, drstore.Leases, value, e.next); err != nil {
		return fmt.Errorf("append the lease: %w", err)
	}
	offset := e.next.Next
	e.next.Next++
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest, e.known, e.newestOffset = l, true, offset
	e.newestSeenAt, e.validUntil = e.config.Uptime.Uptime(), sent+e.config.TTL
	return nil
}
