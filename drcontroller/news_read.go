package drcontroller

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drstore"
)

// newsDue reports whether the listed runners may have changed, although the table cannot be
// brought up to date yet: it is not complete, and its next page has a turn.
func (r *reader) newsDue(after time.Duration) bool {
	at, next := r.view.News()
	return next.Known() && !r.hasHistory() && r.clock.Uptime()-at >= after
}

// readNews reads the next page of the history of the listed runners, so that those that have
// begun to drain are known. It adds and removes none: a page may not reach the end, and a
// later one may say otherwise.
func (r *reader) readNews(ctx context.Context) error {
	defer r.changes.end()
	sent := r.clock.Uptime()
	confirmedAt, next := r.view.News()
	ctx, cancel := context.WithTimeout(ctx, readTimeout) // also after failed pages of the newest entries
	defer cancel()
	page, err := r.log.Read(ctx, drstore.Runners, next.Next, historyPageKB, 0)
	if expired, ok := errors.AsType[*drstore.ExpiredError](err); ok {
		log.WithFields(log.Fields{"event": "store-records-expired", "topic": drstore.Runners, "offset": next.Next}).Info("")
		r.view.ConfirmNews(confirmedAt, drstore.Position{Era: next.Era, Next: expired.First})
		return nil
	}
	if err != nil {
		return err
	}
	if page.Era != next.Era {
		r.logEra(drstore.Runners, position{era: next.Era, next: next.Next}, page.Era)
		r.view.ConfirmNews(confirmedAt, drstore.Position{Era: page.Era, Read: true}) // all that is kept may be news
		return nil
	}
	for _, rec := range page.Records {
		if _, listed := r.view.Runner(rec.Key); listed && len(rec.Value) > 0 {
			r.applyRunnerRecord(rec, drstore.After(next.Era, rec.Offset))
		}
	}
	if page.Next < page.End {
		sent = confirmedAt // the next page is due at once
	}
	r.view.ConfirmNews(sent, drstore.Position{Era: next.Era, Next: page.Next})
	return nil
}
