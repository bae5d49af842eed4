// Package drlease keeps the lease of the controller's role in a log with
// conditional appends. The holder renews it; when renewals cease, another VM
// acquires it. The offset of the acquiring record is the fencing token.
package drlease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// Lease is the newest lease that a VM knows.
type Lease struct {
	VM          string
	Address     string
	Incarnation uint64
	// Term is the fencing token; it grows with each acquisition.
	Term     uint64
	Released bool
	Handover
}

// Handover is what the holder passes on to the next one.
type Handover struct {
	// VMs is the number of VMs that reported to the holder, 0 if unknown.
	VMs int
	// MostProcessor is the largest part of a core that any of them may use, 0 if
	// unknown.
	MostProcessor float64
	// Levels are the tokens left by client account, as of Counted.
	Levels  map[string]float64
	Counted time.Time
}

func decodeHandover(message *drpb.FleetLease) Handover {
	handover := Handover{VMs: int(message.GetVms()), MostProcessor: message.GetMostProcessor(), Counted: time.UnixMilli(message.GetCountedMs())}
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
	// VM, Address and Incarnation describe this process.
	VM          string
	Address     string
	Incarnation uint64
	// TTL is how long a lease is valid from the sending of its last record.
	TTL time.Duration
}

// acquireMargin is added to the TTL before another VM's lease counts as
// lapsed, because clocks run at slightly different rates.
const acquireMargin = 100 * time.Millisecond

// Elector reads and writes the lease. Its methods Read, Acquire, Renew and
// Release are called from one goroutine; Newest and Holds from any.
type Elector struct {
	config     Config
	nextOffset int64 // offset to read from

	mu     sync.Mutex
	newest Lease
	known  bool
	// newestSeenAt is the uptime at which the newest record was first seen.
	newestSeenAt time.Duration
	// validUntil is the uptime at which this process's own lease lapses.
	validUntil time.Duration
}

// New returns an Elector that knows no lease.
func New(c Config) *Elector { return &Elector{config: c} }

// Newest returns the newest lease that is known.
func (e *Elector) Newest() (Lease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.known
}

// Holds returns the term of the lease if this process holds it now.
func (e *Elector) Holds() (term uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || !e.isOwn(e.newest) || e.newest.Released || e.config.Uptime.Uptime() >= e.validUntil {
		return 0, false
	}
	return e.newest.Term, true
}

func (e *Elector) isOwn(l Lease) bool {
	return l.VM == e.config.VM && l.Incarnation == e.config.Incarnation
}

// Read brings the newest lease up to date. If there is no record that is new to
// this VM, it waits for one, but not longer than wait. It reports whether there
// was one.
func (e *Elector) Read(ctx context.Context, wait time.Duration) (changed bool, err error) {
	page, err := e.config.Log.Read(ctx, drstore.Leases, e.nextOffset, wait)
	if expired, ok := errors.AsType[*drstore.ExpiredError](err); ok {
		e.nextOffset = expired.First
		page, err = e.config.Log.Read(ctx, drstore.Leases, e.nextOffset, 0)
	}
	if err != nil {
		return false, fmt.Errorf("read the lease: %w", err)
	}
	for _, r := range page.Records {
		e.applyRecord(r)
	}
	e.nextOffset = max(page.Next, page.End)
	return len(page.Records) > 0, nil
}

func (e *Elector) applyRecord(r drstore.Record) {
	var message drpb.FleetLease
	if err := proto.Unmarshal(r.Value, &message); err != nil {
		log.WithFields(log.Fields{"event": "lease-record-unreadable", "offset": r.Offset}).WithError(err).Warn("")
		return
	}
	l := Lease{message.GetVm(), message.GetAddress(), message.GetIncarnation(), message.GetTerm(), message.GetReleased(), decodeHandover(&message)}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l.Term < e.newest.Term {
		return
	}
	e.newest, e.known, e.newestSeenAt = l, true, e.config.Uptime.Uptime()
}

// Vacant reports whether this VM may acquire the lease: there is none, it was
// released, its holder has not renewed it for the TTL, or its holder was a
// former process of this VM.
func (e *Elector) Vacant() bool { return e.VacantIn() <= 0 }

// VacantIn returns the time until this VM may acquire the lease if its holder
// does not renew it, 0 if it may now.
func (e *Elector) VacantIn() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	former := e.newest.VM == e.config.VM && e.newest.Incarnation < e.config.Incarnation
	if !e.known || former || e.newest.Released {
		return 0
	}
	return max(e.newestSeenAt+e.config.TTL+acquireMargin-e.config.Uptime.Uptime(), 0)
}

// Acquire tries to take a vacant lease after Read. drstore.ErrConflict means
// that another VM was faster.
// What the former holder passed on stays in the lease.
func (e *Elector) Acquire(ctx context.Context) error {
	l, _ := e.Newest()
	return e.appendLease(ctx, Lease{Term: uint64(e.nextOffset) + 1, Handover: l.Handover})
}

// Renew extends the lease of this process. drstore.ErrConflict means that
// another VM has acquired it, or that an append whose outcome was unknown took
// effect; Read tells which.
func (e *Elector) Renew(ctx context.Context, handover Handover) error {
	l, _ := e.Newest()
	return e.appendLease(ctx, Lease{Term: l.Term, Handover: handover})
}

// Release ends the lease of this process, so that another VM need not wait.
func (e *Elector) Release(ctx context.Context) error {
	l, _ := e.Newest()
	return e.appendLease(ctx, Lease{Term: l.Term, Handover: l.Handover, Released: true})
}

func (e *Elector) appendLease(ctx context.Context, l Lease) error {
	l.VM, l.Address, l.Incarnation = e.config.VM, e.config.Address, e.config.Incarnation
	message := &drpb.FleetLease{
		Vm: l.VM, Address: l.Address, Incarnation: l.Incarnation, Term: l.Term, Released: l.Released, Vms: uint32(l.VMs),
		CountedMs: l.Counted.UnixMilli(), MostProcessor: l.MostProcessor,
	}
	for account, level := range l.Levels {
		message.Levels = append(message.Levels, &drpb.FleetLevel{Account: account, Level: level})
	}
	value, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode the lease: %w", err)
	}
	sent := e.config.Uptime.Uptime()
	if err := e.config.Log.Append(ctx, drstore.Leases, value, e.nextOffset); err != nil {
		return fmt.Errorf("append the lease: %w", err)
	}
	e.nextOffset++
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest, e.known = l, true
	e.newestSeenAt, e.validUntil = e.config.Uptime.Uptime(), sent+e.config.TTL
	return nil
}
