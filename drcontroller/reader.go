package drcontroller

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstore"
)

const (
	// lapsedEntryGrace is how long a runner is kept whose entry expired during
	// an outage of the store, so that it can write the entry again after the
	// store has recovered.
	lapsedEntryGrace = 2200 * time.Millisecond
	// missedHeartbeats is how many intervals a runner must have been silent for
	// its entry to expire.
	missedHeartbeats = 3
	// readTimeout is the timeout of one read of the store, in addition to the
	// time that the read may wait at the store.
	readTimeout = time.Second
	// entryTimeout is added to it for each known runner when their entries are read,
	// which is the time that one takes on a slow link.
	entryTimeout = time.Millisecond
	// maxHistoryAge is the age of a read position above which only one page of the
	// runners' history is read. If it does not reach the end, the newest entries are read
	// instead. After a slow read the age may be historyReads times as long as it took,
	// because a read of all entries would be slower still.
	maxHistoryAge = time.Second
	historyReads  = 3
	// maxReadPatience is the longest time that is added to the timeout after failed
	// reads of the runners. It doubles with each, because a new process does not
	// know how many there are.
	maxReadPatience = 4 * time.Second
)

// reader updates a view from the store. Each topic must be read by one
// goroutine at a time.
type reader struct {
	readerConfig

	deployments position
	// confirmed is the position of the last read of the runners by this reader that ended.
	confirmed position
	// deploymentChanged is set if the last read returned a new configuration.
	deploymentChanged bool
	// runnersFailedAt is the uptime of the last failed read of the runners. It
	// is valid if runnersFailed is set.
	runnersFailedAt time.Duration
	runnersFailed   bool
	// patience is added to the timeout of the next read of the runners.
	patience time.Duration
	// runnersTook is how long the last successful read of the runners took.
	runnersTook time.Duration
	// newest is the read of the runners' newest entries that has begun, or nil.
	newest *newestRead
	// strangers is set if a controller has named runners during the last read of the newest
	// entries, which began at strangersAt, that were not on its pages. They may have left
	// before it.
	strangers   bool
	strangersAt time.Duration
	// lapsed contains the runners whose entries may have expired during or shortly
	// after an outage of the store, with the uptime at which they are removed.
	lapsed map[string]time.Duration
	// writtenSince contains, by runner, an uptime after which its newest entry was
	// written. A runner that has not written since the first read is missing.
	writtenSince map[string]time.Duration
	// unreadable is the set of runners whose entries were logged as unreadable,
	// so that each is logged only once.
	unreadable map[string]bool
	// changes logs what the read in progress has changed.
	changes changeLog
}

// readerConfig configures a reader. Heartbeat is the interval at which runners
// write their entries.
type readerConfig struct {
	log       drstore.Log
	codec     drstore.Codec
	view      *drfleetview.View
	clock     drfleetview.Clock
	heartbeat time.Duration
}

// asOf returns the reading that ends at the position.
func (p position) asOf() drstore.Position {
	return drstore.Position{Era: p.era, Next: p.next, Read: p.started}
}

// position is the read position in a topic.
type position struct {
	era     uint64
	next    int64
	started bool          // it has been read once
	readAt  time.Duration // uptime at which the last successful read was sent
}

func newReader(config readerConfig) *reader {
	return &reader{
		readerConfig: config, lapsed: make(map[string]time.Duration), writtenSince: make(map[string]time.Duration),
		unreadable: make(map[string]bool),
	}
}

// readHistory reads a topic from the position to its end, in a number of pages of a size at
// most. kept is false if the records at the position have expired, if the store has lost some
// that were read, or if there are more pages.
// The position moves only with a complete read, because the records of the pages before a
// failed one are not applied.
func (r *reader) readHistory(ctx context.Context, topic drstore.Topic, pos *position, pages, maxKB int, wait time.Duration) (records []drstore.Record, kept bool, err error) {
	for next := pos.next; pages > 0; pages-- {
		sent := r.clock.Uptime()
		page, err := r.log.Read(ctx, topic, next, maxKB, wait)
		if _, expired := errors.AsType[*drstore.ExpiredError](err); expired {
			log.WithFields(log.Fields{"event": "store-records-expired", "topic": topic, "offset": next}).Info("")
			return nil, false, nil
		}
		if err != nil {
			return nil, false, err
		}
		if page.Era != pos.era {
			r.logEra(topic, *pos, page.Era)
			return nil, false, nil
		}
		next = page.Next
		records = append(records, page.Records...)
		// Pages are limited in size, so this one may not contain the newest
		// records.
		if page.Next >= page.End {
			pos.next, pos.readAt = next, sent
			return records, true, nil
		}
		wait = 0
	}
	return nil, false, nil
}

// logEra logs that the store has lost records and given out their offsets again.
func (r *reader) logEra(topic drstore.Topic, pos position, era uint64) {
	log.WithFields(log.Fields{"event": "store-era-changed", "topic": topic, "from": pos.era, "to": era, "offset": pos.next}).Warn("")
}

// readDeploymentRecords reads the deployments topic from the position to its end, or only
// its newest records if it has not been read yet or the records at the position have
// expired. fromNewest is set in the latter cases.
func (r *reader) readDeploymentRecords(ctx context.Context, wait time.Duration) (records []drstore.Record, fromNewest bool, err error) {
	pos := &r.deployments
	if pos.started {
		records, kept, err := r.readHistory(ctx, drstore.Deployments, pos, math.MaxInt, drstore.MaxPageKB, wait)
		if kept || err != nil {
			return records, false, err
		}
	}
	sent := r.clock.Uptime()
	var page drstore.Page
	for first := true; first || page.After != ""; first = false {
		if page, err = r.log.Newest(ctx, drstore.Deployments, page.After); err != nil {
			return nil, false, err
		}
		if first {
			*pos = position{era: page.Era, next: page.Next, readAt: sent}
		}
		if page.Era != pos.era {
			return nil, false, errEraChanged
		}
		records = append(records, page.Records...)
	}
	pos.started = true
	return records, true, nil
}

// readDeployment reads the configuration and waits up to wait for a newer one.
// The read after a change does not wait: a read that finds a change confirms the
// configuration only as of when it was sent, and only one that finds nothing
// newer confirms it as of the end of its wait.
func (r *reader) readDeployment(ctx context.Context, wait time.Duration) error {
	if r.deploymentChanged {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	sent := r.clock.Uptime()
	records, fromNewest, err := r.readDeploymentRecords(ctx, wait)
	if err != nil {
		return err
	}
	r.applyOutages(records, fromNewest)
	for _, rec := range records {
		if _, ok := r.codec.OutOfService(rec.Key); ok {
			continue
		}
		d, err := r.codec.Deployment(rec.Value)
		if err != nil {
			log.WithFields(log.Fields{"event": "deployment-unreadable", "offset": rec.Offset}).WithError(err).Error("")
			continue
		}
		deflated, err := deflate(rec.Value)
		if err != nil {
			log.WithFields(log.Fields{"event": "deployment-not-compressed", "offset": rec.Offset}).WithError(err).Error("")
			continue
		}
		if r.view.OfferDeployment(d, deflated) {
			log.WithFields(log.Fields{"event": "deployment-changed", "version": d.Version, "offset": rec.Offset,
				"bytes": len(rec.Value), "deflated": len(deflated), "source": "store"}).Info("")
		}
	}
	r.deploymentChanged = len(records) > 0
	confirmed := sent
	if elapsed := r.clock.Uptime() - sent; !fromNewest && len(records) == 0 && elapsed >= wait {
		confirmed += wait // the store would have returned a newer version before the wait was over
	}
	if d, _ := r.view.Deployment(); d != nil {
		r.view.ConfirmDeployment(confirmed)
	}
	return nil
}

// readRunners updates the view with the runners' entries: with the history since they were
// confirmed, or with the next page of the newest entries. If there is no such history, it
// only begins a read of the newest entries.
func (r *reader) readRunners(ctx context.Context) error {
	defer r.changes.end()
	err := r.readNextRunners(ctx)
	if errors.Is(err, errNoHistory) {
		r.newest, err = r.beginNewestRead(r.clock.Uptime()), nil
	}
	if err != nil {
		r.runnersFailedAt, r.runnersFailed = r.clock.Uptime(), true
		r.patience = min(max(2*r.patience, readTimeout), maxReadPatience)
		return err
	}
	r.patience = 0
	return nil
}

// readNextRunners makes the next read of the runners' entries.
func (r *reader) readNextRunners(ctx context.Context) error {
	if r.hasHistory() {
		return r.readRunnersHistory(ctx)
	}
	return r.readNewestRunners(ctx)
}

// errEraChanged means that the store has lost records between two pages.
var errEraChanged = errors.New("the store has begun another era between two pages")

// errNoHistory means that the newest entries must be read instead of the history.
var errNoHistory = errors.New("the history since the last read is too long or has expired")

// runnersPosition returns the position in the runners' topic up to which the view has all
// entries, from this reader or, if that is newer, from a controller.
func (r *reader) runnersPosition() position {
	at, next := r.view.RunnersConfirmed()
	if r.confirmed.started && r.confirmed.readAt >= at {
		return r.confirmed
	}
	return position{era: next.Era, next: next.Next, started: next.Known(), readAt: at}
}

// confirmRunners records that the view has all entries up to a position, and tells it the
// position for other VMs. It tells none while runners are kept that have no entry: their
// leaving is before it, so that no VM that goes on from there would ever remove them, and one
// that has removed them would list them again.
func (r *reader) confirmRunners(pos position) {
	r.confirmed = pos
	next := drstore.Position{}
	if len(r.lapsed) == 0 {
		next = pos.asOf()
		r.view.ConfirmTable(next)
	}
	r.view.ConfirmRunners(pos.readAt, next)
}

// hasHistory reports whether the next read may be one of the history. A read of the newest
// entries that has begun goes on, and one that has found strangers is made again, unless a
// controller has confirmed newer entries since.
func (r *reader) hasHistory() bool {
	switch {
	case !r.runnersPosition().started:
		return false
	case r.reading():
		return r.confirmedSince(r.newest.sentAt)
	default:
		return !r.strangers || r.confirmedSince(r.strangersAt)
	}
}

// readRunnersHistory updates the view with the entries since the runners were confirmed.
func (r *reader) readRunnersHistory(ctx context.Context) error {
	sent, last := r.clock.Uptime(), r.runnersPosition()
	pages, maxKB, timeout := math.MaxInt, drstore.MaxPageKB, r.runnersTimeout()
	if sent-last.readAt > max(maxHistoryAge, historyReads*r.runnersTook) {
		pages, maxKB, timeout = 1, historyPageKB, readTimeout+r.patience
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pos := last
	records, kept, err := r.readHistory(ctx, drstore.Runners, &pos, pages, maxKB, 0)
	if err == nil && !kept {
		return errNoHistory
	}
	if err != nil {
		return err
	}
	r.runnersTook, r.newest, r.strangers = r.clock.Uptime()-sent, nil, false
	if now := r.runnersPosition(); now != last { // a controller's table has come meanwhile
		if !now.started || now.era != pos.era {
			return errNoHistory
		}
		records = slices.DeleteFunc(records, func(rec drstore.Record) bool { return rec.Offset < now.next })
		pos.next, last = max(pos.next, now.next), now
	}
	if last != r.confirmed {
		clear(r.lapsed) // the controller's table says which runners are left
	}
	for _, rec := range records {
		r.noteWritten(rec, pos.era, last) // also of runners that have left since
	}
	for _, rec := range newestOfKeys(records) {
		r.applyRunnerRecord(rec, drstore.After(pos.era, rec.Offset))
	}
	r.removeLapsedRunners(r.clock.Uptime(), pos.asOf())
	r.confirmRunners(pos)
	return nil
}

// newestOfKeys returns the newest record of each key, in their order. The view may have them
// already, so that it would drop a runner by an older record and not take it back by the newest.
func newestOfKeys(records []drstore.Record) []drstore.Record {
	newest := make(map[string]int64, len(records))
	for _, rec := range records {
		newest[rec.Key] = rec.Offset
	}
	return slices.DeleteFunc(records, func(rec drstore.Record) bool { return newest[rec.Key] != rec.Offset })
}

// runnersTimeout returns the timeout of one read of the runners: of the history, which may
// take many pages, or of one page of the newest entries.
func (r *reader) runnersTimeout() time.Duration {
	return readTimeout + time.Duration(r.view.RunnerCount())*entryTimeout + r.patience
}

// applyRunnerRecord applies one record of the runners' topic, as of a reading, to the view. An
// empty value means that the entry was removed. An unreadable entry is ignored
// and leaves the runner as it is.
func (r *reader) applyRunnerRecord(rec drstore.Record, asOf drstore.Position) {
	if len(rec.Value) == 0 {
		r.dropRunner(rec.Key, r.clock.Uptime(), asOf)
		return
	}
	runner, err := r.codec.Runner(rec.Key, rec.Value)
	if err != nil {
		if !r.unreadable[rec.Key] {
			r.unreadable[rec.Key] = true
			log.WithFields(log.Fields{"event": "runner-entry-ignored", "runner": rec.Key, "offset": rec.Offset}).
				WithError(err).Warn("")
		}
		return
	}
	delete(r.lapsed, rec.Key)
	old, known := r.view.Runner(rec.Key)
	if !r.view.OfferRunnerAsOf(runner, drfleetview.FromRunner, asOf).Changed() {
		return
	}
	if left := r.view.ColdLeft(rec.Key); runner.Cold > 0 && left > 0 {
		log.WithFields(log.Fields{"event": "runner-cold", "runner": runner.ID, "service": runner.Service, "started": runner.Started,
			"left": left, "offset": rec.Offset, "source": "store"}).Info("")
	}
	if !known || old.Started != runner.Started || old.Draining != runner.Draining {
		r.changes.add(log.Fields{"event": "runner-changed", "runner": runner.ID, "service": runner.Service,
			"started": runner.Started, "draining": runner.Draining, "beat": runner.Beat, "offset": rec.Offset,
			"source": "store"})
	}
}

// dropRunner removes a runner whose entry is gone from the view. It does so only
// after lapsedEntryGrace if the entry may have expired during an outage of the
// store. readAt is the uptime from which on the store was asked for the entry, and asOf the
// reading.
func (r *reader) dropRunner(id string, readAt time.Duration, asOf drstore.Position) {
	if _, known := r.view.Runner(id); !known {
		return
	}
	if r.mayHaveLapsed(id, readAt) {
		r.keepLapsed(id)
		return
	}
	r.removeRunner(id, asOf, "entry removed from the store")
}

// mayHaveLapsed reports whether a runner's entry may have expired because the runner
// could not write it: a read of the store has failed recently, too, and the runner has
// been silent for long enough. A failed read alone is no sign of it, as the connection of
// this VM may have broken while the store served the runners. The failure may also have
// come after readAt, between two pages.
func (r *reader) mayHaveLapsed(id string, readAt time.Duration) bool {
	now := r.clock.Uptime()
	if !r.runnersFailed || readAt-r.runnersFailedAt >= lapsedEntryGrace {
		return false
	}
	since, known := r.writtenSince[id]
	return !known || now-since >= missedHeartbeats*r.heartbeat
}

// keepLapsed keeps a runner whose entry may have expired for lapsedEntryGrace.
func (r *reader) keepLapsed(id string) {
	if _, ok := r.lapsed[id]; ok {
		return
	}
	now := r.clock.Uptime()
	r.lapsed[id] = now + lapsedEntryGrace
	fields := log.Fields{"event": "runner-entry-lapsed", "runner": id, "read-failed-ago": now - r.runnersFailedAt, "kept-for": lapsedEntryGrace}
	if since, known := r.writtenSince[id]; known {
		fields["silent"] = now - since
	}
	log.WithFields(fields).Info("")
}

// removeLapsedRunners removes the runners that have not written their entry again within
// lapsedEntryGrace, by a complete read of the store at an uptime.
func (r *reader) removeLapsedRunners(readAt time.Duration, asOf drstore.Position) {
	for id, at := range r.lapsed {
		if readAt >= at {
			delete(r.lapsed, id)
			r.removeRunner(id, asOf, "entry not written again after the store recovered")
		}
	}
}

func (r *reader) removeRunner(id string, asOf drstore.Position, why string) {
	delete(r.writtenSince, id)
	if r.view.RemoveRunnerAsOf(id, drfleetview.FromRunner, asOf).Changed() {
		log.WithFields(log.Fields{"event": "runner-gone", "runner": id, "why": why, "as-of": asOf.Next, "source": "store"}).Info("")
	}
}
