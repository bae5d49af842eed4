package drstandin

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultAppendRate is the number of appends per second that the
	// platform's log accepts.
	defaultAppendRate = 400

	maxPageRecords = 1000
	// maxPageBytes bounds the record bytes in one answer.
	maxPageBytes = 4 << 20
)

// LogConfig sets up a Log.
type LogConfig struct {
	Address string
	// AppendRate is the limit of appends per second; 0 means 400.
	AppendRate float64
	// RetainAge and RetainCount bound each stream; 0 means no bound.
	RetainAge   time.Duration
	RetainCount int
}

// LogFaults are the faults of a Log.
type LogFaults struct {
	// Down drops every request without an effect.
	Down bool `json:"down"`
	// Delay precedes the effect of every request.
	Delay Duration `json:"delay"`
	// LoseAnswer drops the connection after an append took effect.
	LoseAnswer bool `json:"lose-answer"`
	// LateAppend drops the connection at once and appends after this time.
	LateAppend Duration `json:"late-append"`
	// RejectRate is the share of appends that get 503 without an effect.
	RejectRate float64 `json:"reject-rate"`
}

// LogCounts are the counters of a Log.
type LogCounts struct {
	Appends  int `json:"appends"`
	Rejected int `json:"rejected"`
	Reads    int `json:"reads"`
}

// Log stands in for the platform's append-only log.
type Log struct {
	server
	faultSettings[LogFaults]
	config        LogConfig
	appendLimiter *tokenBucket
	mu            sync.Mutex
	streams       map[string]*logStream
	counts        LogCounts
}

type logRecord struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

type logPage struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Records []logRecord `json:"records,omitempty"`
}

type logStream struct {
	records  []logRecord
	next     uint64
	appended chan struct{} // closed at the next append
}

// NewLog returns a Log with no streams.
func NewLog(c LogConfig) *Log {
	if c.AppendRate == 0 {
		c.AppendRate = defaultAppendRate
	}
	return &Log{config: c, appendLimiter: newTokenBucket(c.AppendRate), streams: make(map[string]*logStream)}
}

// Start begins to listen.
func (l *Log) Start() error { return l.listen(l.config.Address, l.handle) }

// Counts returns the counters.
func (l *Log) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Append adds a record without faults or limits and returns its offset.
func (l *Log) Append(stream string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	offset := s.next
	s.next++
	s.records = append(s.records, logRecord{offset, time.Now().UTC(), slices.Clone(data)})
	close(s.appended)
	s.appended = make(chan struct{})
	l.counts.Appends++
	l.applyRetention(s)
	return offset
}

// Truncate drops the records of a stream below offset first.
func (l *Log) Truncate(stream string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	for len(s.records) > 0 && s.records[0].Offset < first {
		s.records = s.records[1:]
	}
}

func (l *Log) streamNamed(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{next: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) applyRetention(s *logStream) {
	if n := l.config.RetainCount; n > 0 && len(s.records) > n {
		s.records = s.records[len(s.records)-n:]
	}
	if l.config.RetainAge <= 0 {
		return
	}
	oldest := time.Now().Add(-l.config.RetainAge)
	for len(s.records) > 0 && s.records[0].Time.Before(oldest) {
		s.records = s.records[1:]
	}
}

func (l *Log) handle(ctx *fasthttp.RequestCtx) {
	if l.faultSettings.handleFaults(ctx) {
		return
	}
	if string(ctx.Path()) == countsPath {
		respondJSON(ctx, fasthttp.StatusOK, l.Counts())
		return
	}
	faults := l.Faults()
	if faults.Down || !l.pause(time.Duration(faults.Delay)) {
		dropConn(ctx)
		return
	}
	path := pathSegments(ctx)
	if len(path) != 4 || path[0] != "v1" || path[1] != "streams" || path[3] != "records" {
		respondError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	if ctx.IsPost() {
		l.handleAppend(ctx, faults, path[2])
		return
	}
	l.handleRead(ctx, path[2])
}

func (l *Log) handleAppend(ctx *fasthttp.RequestCtx, faults LogFaults, stream string) {
	status := 0
	switch {
	case !l.appendLimiter.allow():
		status = fasthttp.StatusTooManyRequests
	case faults.RejectRate > 0 && rand.Float64() < faults.RejectRate:
		status = fasthttp.StatusServiceUnavailable
	}
	if status != 0 {
		l.mu.Lock()
		l.counts.Rejected++
		l.mu.Unlock()
		respondError(ctx, status, "append refused")
		return
	}
	if faults.LateAppend > 0 {
		data := slices.Clone(ctx.PostBody())
		time.AfterFunc(time.Duration(faults.LateAppend), func() { l.Append(stream, data) })
		dropConn(ctx)
		return
	}
	offset := l.Append(stream, ctx.PostBody())
	if faults.LoseAnswer {
		dropConn(ctx)
		return
	}
	respondJSON(ctx, fasthttp.StatusOK, map[string]uint64{"offset": offset})
}

func (l *Log) handleRead(ctx *fasthttp.RequestCtx, stream string) {
	wait, err := pollWait(ctx)
	if err != nil {
		respondError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	from := uintArg(ctx, "from", 1)
	limit := min(uintArg(ctx, "max", maxPageRecords), maxPageRecords)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	l.mu.Lock()
	l.counts.Reads++
	l.mu.Unlock()
	for respondNow := wait == 0; ; {
		page, appended := l.readPage(stream, from, int(limit))
		switch {
		case from < page.First:
			respondJSON(ctx, fasthttp.StatusGone, page)
			return
		case len(page.Records) > 0 || respondNow:
			respondJSON(ctx, fasthttp.StatusOK, page)
			return
		}
		select {
		case <-appended:
		case <-timeout.C:
			respondNow = true
		case <-l.closing:
			dropConn(ctx)
			return
		}
		if l.Faults().Down {
			dropConn(ctx)
			return
		}
	}
}

// readPage returns the records from an offset, and a channel that is closed at
// the next append.
func (l *Log) readPage(stream string, from uint64, limit int) (logPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	l.applyRetention(s)
	page := logPage{First: s.next - uint64(len(s.records)), Next: s.next}
	if from < page.First || from >= s.next {
		return page, s.appended
	}
	size := 0
	for _, r := range s.records[from-page.First:] {
		size += len(r.Data)
		if len(page.Records) == limit || (size > maxPageBytes && len(page.Records) > 0) {
			break
		}
		page.Records = append(page.Records, r)
	}
	return page, s.appended
}
