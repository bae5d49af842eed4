package drcontroller

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drstore"
)

// maxReadPause is how long after its last page a read of the newest records may go on. It is
// above two turns in a fleet of 1,000 VMs and the timeout between them, because a read that
// begins anew each time would never end.
const maxReadPause = time.Minute

// newestRead is a read of the newest entries of the runners, page by page. What it has read
// stays read if a page fails, so that it ends however slow the store is.
type newestRead struct {
	// next is where the history goes on, and sentAt the uptime at which the
	// first page was asked for.
	next   drstore.Position
	sentAt time.Duration
	// after is the key after which the next page begins, and pageAt the uptime at which the
	// last one arrived. entries counts its records, and took sums the time of all pages.
	after   string
	pageAt  time.Duration
	entries int
	took    time.Duration
	// listed is the set of runners on the pages so far, and known that of the runners that
	// were known before the first one.
	listed, known map[string]bool
}

// reading reports whether a read of the newest entries has begun and not ended.
func (r *reader) reading() bool { return r.newest != nil }

// readNewestRunners reads the next page of the newest entries of the runners and applies it.
// With the last page the view is complete as of the first one.
func (r *reader) readNewestRunners(ctx context.Context) error {
	now := r.clock.Uptime()
	if r.newest == nil || now-r.newest.pageAt > maxReadPause || r.confirmedSince(r.newest.sentAt) {
		r.newest = r.beginNewestRead(now)
	}
	read := r.newest
	ctx, cancel := context.WithTimeout(ctx, r.runnersTimeout())
	defer cancel()
	last := r.runnersPosition()
	page, err := r.log.Newest(ctx, drstore.Runners, read.after)
	if err != nil {
		return err
	}
	if r.confirmedSince(read.sentAt) {
		return nil // the page may be older than what a controller has named meanwhile
	}
	if read.after == "" {
		read.next = drstore.Position{Era: page.Era, Next: page.Next, Read: true}
		r.view.BeginNews(read.sentAt, read.next)
	}
	if page.Era != read.next.Era {
		r.logEra(drstore.Runners, position{era: read.next.Era, next: read.next.Next}, page.Era)
		r.newest = r.beginNewestRead(r.clock.Uptime())
		return nil
	}
	read.pageAt = r.clock.Uptime()
	read.took += read.pageAt - now
	read.after, read.entries = page.After, len(page.Records)
	for _, rec := range page.Records {
		read.listed[rec.Key] = true
		r.noteWritten(rec, page.Era, last)
		r.applyRunnerRecord(rec, drstore.After(page.Era, max(rec.Offset, page.End-1)))
	}
	if page.After == "" {
		r.endNewestRead(read)
	}
	return nil
}

// confirmedSince reports whether a controller's table is newer than an uptime. Pages from
// then say nothing about the runners that it lists.
func (r *reader) confirmedSince(sentAt time.Duration) bool {
	at, _ := r.view.RunnersConfirmed()
	return at > sentAt
}

// beginNewestRead returns a read that has read nothing.
func (r *reader) beginNewestRead(now time.Duration) *newestRead {
	read := &newestRead{sentAt: now, pageAt: now, listed: make(map[string]bool), known: make(map[string]bool)}
	for _, known := range r.view.Runners("") {
		read.known[known.ID] = true
	}
	return read
}

// endNewestRead removes the runners that have no entry, unless they came after the read
// began. Of those that an earlier version of the controller has named since, that is not known.
func (r *reader) endNewestRead(read *newestRead) {
	r.strangersAt, r.strangers = read.sentAt, false
	for _, known := range r.view.Runners("") {
		switch {
		case read.listed[known.ID]:
		case read.known[known.ID], r.view.ListedAsOf(known.ID).Known():
			r.dropRunner(known.ID, read.sentAt, read.next)
		default:
			r.strangers = true
		}
	}
	r.removeLapsedRunners(read.sentAt, read.next)
	maps.DeleteFunc(r.writtenSince, func(id string, _ time.Duration) bool { return !read.listed[id] })
	log.WithFields(log.Fields{"event": "runners-read", "entries": len(read.listed), "took": read.took, "began-ago": read.pageAt - read.sentAt}).Info("")
	r.runnersTook, r.newest = read.took, nil
	r.confirmRunners(position{era: read.next.Era, next: read.next.Next, started: true, readAt: read.sentAt})
}

// noteWritten records that a runner has written its entry, in an era of the store, since the
// last complete read.
func (r *reader) noteWritten(rec drstore.Record, era uint64, last position) {
	if last.started && last.era == era && rec.Offset >= last.next && len(rec.Value) > 0 {
		r.writtenSince[rec.Key] = last.readAt
	}
}
