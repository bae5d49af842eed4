package drcontroller

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drstore"
)

const (
	// lapsedEntryGrace is how long after the store's return a runner whose entry
	// lapsed during the outage may take to write it again.
	lapsedEntryGrace = 2200 * time.Millisecond
	// readTimeout bounds one read of the store beyond its wait.
	readTimeout = time.Second
	// maxHistoryAge is the age of a position beyond which the newest entries of
	// the runners are read instead of their history, which grows with runners
	// times time.
	maxHistoryAge = time.Second
)

// reader brings a view up to date from the store. Each topic is read by one
// goroutine at a time.
type reader struct {
	log   drstore.Log
	codec drstore.Codec
	view  *drfleetview.View
	clock drfleetview.Clock

	deployments, runners position
	// deploymentChanged is set if the last read brought a new configuration.
	deploymentChanged bool
	// runnersFailedAt is the uptime at which a read of the runners last failed.
	runnersFailedAt time.Duration
	runnersFailed   bool
	// lapsed holds runners whose entries went while the store was unstable, by
	// the uptime at which they count as gone.
	lapsed map[string]time.Duration
	// unreadable remembers entries that were reported as unreadable.
	unreadable map[string]bool
}

// position is where reading goes on in a topic.
type position struct {
	next    int64
	started bool
	readAt  time.Duration // uptime at which it was read up to next
}

func newReader(l drstore.Log, c drstore.Codec, v *drfleetview.View, clock drfleetview.Clock) *reader {
	return &reader{
		log: l, codec: c, view: v, clock: clock, lapsed: make(map[string]time.Duration),
		unreadable: make(map[string]bool),
	}
}

// readTopic reads a topic on to its end, or from its newest records if it has not
// been read yet or its records have expired. whole is set in the latter case.
func (r *reader) readTopic(ctx context.Context, topic drstore.Topic, pos *position, wait time.Duration) (records []drstore.Record, fromNewest bool, err error) {
	for pos.started {
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
		// A page is limited in size, so the newest records may be missing.
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

// readDeployment reads the configuration, waiting for a newer one up to wait.
// After a change the next read does not wait, because only a read that finds
// nothing newer at its end confirms the configuration as of then.
func (r *reader) readDeployment(ctx context.Context, wait time.Duration) error {
	if r.deploymentChanged {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	sent := r.clock.Uptime()
	records, fromNewest, err := r.readTopic(ctx, drstore.Deployments, &r.deployments, wait)
	if err != nil {
		return err
	}
	for _, rec := range records {
		d, err := r.codec.Deployment(rec.Value)
		if err != nil {
			log.WithFields(log.Fields{"event": "deployment-unreadable", "offset": rec.Offset}).WithError(err).Error("")
			continue
		}
		if r.view.OfferDeployment(d, rec.Value) {
			log.WithFields(log.Fields{"event": "deployment-changed", "version": d.Version, "offset": rec.Offset,
				"source": "store"}).Info("")
		}
	}
	r.deploymentChanged = len(records) > 0
	confirmed := sent
	if elapsed := r.clock.Uptime() - sent; !fromNewest && len(records) == 0 && elapsed >= wait {
		confirmed += wait // the store waited so long for a newer version
	}
	if d, _ := r.view.Deployment(); d != nil {
		r.view.ConfirmDeployment(confirmed)
	}
	return nil
}

// readRunners reads the runners' entries.
func (r *reader) readRunners(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := r.clock.Uptime()
	r.runners.started = r.runners.started && sent-r.runners.readAt <= maxHistoryAge
	records, fromNewest, err := r.readTopic(ctx, drstore.Runners, &r.runners, 0)
	if err != nil {
		r.runnersFailedAt, r.runnersFailed = r.clock.Uptime(), true
		return err
	}
	listed := make(map[string]bool)
	for _, rec := range records {
		listed[rec.Key] = true
		r.applyRunnerRecord(rec)
	}
	if fromNewest {
		for _, known := range r.view.Runners("") {
			if !listed[known.ID] {
				r.dropRunner(known.ID)
			}
		}
	}
	r.removeLapsedRunners()
	r.view.ConfirmRunners(sent)
	return nil
}

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
	if !known || old.Started != runner.Started || old.Draining != runner.Draining {
		log.WithFields(log.Fields{"event": "runner-changed", "runner": runner.ID, "service": runner.Service,
			"started": runner.Started, "draining": runner.Draining, "beat": runner.Beat, "offset": rec.Offset,
			"source": "store"}).Info("")
	}
}

// dropRunner takes a runner out, at once if the store was stable.
func (r *reader) dropRunner(id string) {
	if _, known := r.view.Runner(id); !known {
		return
	}
	if r.runnersFailed && r.clock.Uptime()-r.runnersFailedAt < lapsedEntryGrace {
		if _, ok := r.lapsed[id]; !ok {
			r.lapsed[id] = r.clock.Uptime() + lapsedEntryGrace
		}
		return
	}
	r.removeRunner(id, "entry removed")
}

func (r *reader) removeLapsedRunners() {
	for id, at := range r.lapsed {
		if r.clock.Uptime() >= at {
			delete(r.lapsed, id)
			r.removeRunner(id, "entry not back after the store's return")
		}
	}
}

func (r *reader) removeRunner(id, why string) {
	if r.view.RemoveRunner(id) {
		log.WithFields(log.Fields{"event": "runner-gone", "runner": id, "why": why, "source": "store"}).Info("")
	}
}
