package drcontroller

import (
	"context"
	"errors"
	"maps"
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
	// maxHistoryAge is the age of a read position above which the newest
	// entries of the runners are read instead of the history since then. The
	// length of the history grows with the number of runners and with time. After
	// a slow read the age may be historyReads times as long as it took, because a
	// read of all entries would be slower still.
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

	deployments, runners position
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
	// lapsed contains the runners whose entries may have expired during or shortly
	// after an outage of the store, with the uptime at which they are removed.
	lapsed map[string]time.Duration
	// writtenSince contains, by runner, an uptime after which its newest entry was
	// written. A runner that has not written since the first read is missing.
	writtenSince map[string]time.Duration
	// unreadable is the set of runners whose entries were logged as unreadable,
	// so that each is logged only once.
	unreadable map[string]bool
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

// position is the read position in a topic.
type position struct {
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

// readTopic reads a topic from the position to its end, or only its newest
// records if history is not wanted, it has not been read yet or the records at
// the position have expired. fromNewest is set in the latter cases.
func (r *reader) readTopic(ctx context.Context, topic drstore.Topic, pos *position, history bool, wait time.Duration) (records []drstore.Record, fromNewest bool, err error) {
	for history && pos.started {
		sent := r.clock.Uptime()
		page, err := r.log.Read(ctx, topic, pos.next, wait)
		if _, expired := errors.AsType[*drstore.ExpiredError](err); expired {
			log.WithFields(log.Fields{"event": "store-records-expired", "topic": topic, "offset": pos.next}).Info("")
			break
		}
		if err != nil {
			return nil, false, err
		}
		pos.next, pos.readAt = page.Next, sent
		records = append(records, page.Records...)
		// Pages are limited in size, so this one may not contain the newest
		// records.
		if page.Next >= page.End {
			return records, false, nil
		}
		wait = 0
	}
	sent := r.clock.Uptime()
	page, err := r.log.Newest(ctx, topic)
	if err != nil {
		return nil, false, err
	}
	pos.next, pos.started, pos.readAt = page.Next, true, sent
	return page.Records, true, nil
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
	records, fromNewest, err := r.readTopic(ctx, drstore.Deployments, &r.deployments, true, wait)
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

// readRunners updates the view with the runners' entries.
func (r *reader) readRunners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.runnersTimeout())
	defer cancel()
	sent := r.clock.Uptime()
	last := r.runners
	history := sent-last.readAt <= max(maxHistoryAge, historyReads*r.runnersTook)
	records, fromNewest, err := r.readTopic(ctx, drstore.Runners, &r.runners, history, 0)
	if err != nil {
		r.runnersFailedAt, r.runnersFailed = r.clock.Uptime(), true
		r.patience = min(max(2*r.patience, readTimeout), maxReadPatience)
		return err
	}
	r.runnersTook, r.patience = r.clock.Uptime()-sent, 0
	listed := make(map[string]bool)
	for _, rec := range records {
		listed[rec.Key] = true
		if last.started && rec.Offset >= last.next && len(rec.Value) > 0 {
			r.writtenSince[rec.Key] = last.readAt
		}
		r.applyRunnerRecord(rec)
	}
	if fromNewest {
		for _, known := range r.view.Runners("") {
			if !listed[known.ID] {
				r.dropRunner(known.ID)
			}
		}
		maps.DeleteFunc(r.writtenSince, func(id string, _ time.Duration) bool { return !listed[id] })
	}
	r.removeLapsedRunners()
	r.view.ConfirmRunners(sent)
	return nil
}

// runnersTimeout returns the timeout of one read of the runners, which may take many
// pages.
func (r *reader) runnersTimeout() time.Duration {
	return readTimeout + time.Duration(r.view.RunnerCount())*entryTimeout + r.patience
}

// applyRunnerRecord applies one record of the runners' topic to the view. An
// empty value means that the entry was removed. An unreadable entry is ignored
// and leaves the runner as it is.
func (r *reader) applyRunnerRecord(rec drstore.Record) {
	if len(rec.Value) == 0 {
		r.dropRunner(rec.Key)
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
	if !r.view.OfferRunner(runner, drfleetview.FromRunner) {
		return
	}
	if left := r.view.ColdLeft(rec.Key); runner.Cold > 0 && left > 0 {
		log.WithFields(log.Fields{"event": "runner-cold", "runner": runner.ID, "service": runner.Service, "started": runner.Started,
			"left": left, "offset": rec.Offset, "source": "store"}).Info("")
	}
	if !known || old.Started != runner.Started || old.Draining != runner.Draining {
		log.WithFields(log.Fields{"event": "runner-changed", "runner": runner.ID, "service": runner.Service,
			"started": runner.Started, "draining": runner.Draining, "beat": runner.Beat, "offset": rec.Offset,
			"source": "store"}).Info("")
	}
}

// dropRunner removes a runner whose entry is gone from the view. It does so only
// after lapsedEntryGrace if the entry may have expired during an outage of the
// store.
func (r *reader) dropRunner(id string) {
	if _, known := r.view.Runner(id); !known {
		return
	}
	if r.mayHaveLapsed(id) {
		r.keepLapsed(id)
		return
	}
	r.removeRunner(id, "entry removed from the store")
}

// mayHaveLapsed reports whether a runner's entry may have expired because the runner
// could not write it: a read of the store has failed recently, too, and the runner has
// been silent for long enough. A failed read alone is no sign of it, as the connection of
// this VM may have broken while the store served the runners.
func (r *reader) mayHaveLapsed(id string) bool {
	now := r.clock.Uptime()
	if !r.runnersFailed || now-r.runnersFailedAt >= lapsedEntryGrace {
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

// removeLapsedRunners removes the runners that have not written their entry
// again within lapsedEntryGrace.
func (r *reader) removeLapsedRunners() {
	for id, at := range r.lapsed {
		if r.clock.Uptime() >= at {
			delete(r.lapsed, id)
			r.removeRunner(id, "entry not written again after the store recovered")
		}
	}
}

func (r *reader) removeRunner(id, why string) {
	delete(r.writtenSince, id)
	if r.view.RemoveRunner(id) {
		log.WithFields(log.Fields{"event": "runner-gone", "runner": id, "why": why, "source": "store"}).Info("")
	}
}
