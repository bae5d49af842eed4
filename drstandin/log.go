package drstandin

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultAppendRate is the number of appends per second that the log of the
	// platform accepts.
	defaultAppendRate = 400

	// maxPageRecords bounds the records in one response.
	maxPageRecords = 1000
	// maxPageBytes bounds the bytes of record data in one response, except that a
	// single larger record is returned alone.
	maxPageBytes = 4 << 20
)

// LogConfig configures a Log.
type LogConfig struct {
	// Address is the host:port to listen on; if empty, the system chooses a port
	// on 127.0.0.1.
	Address string
	// AppendRate is the limit of appends per second over all streams; 0 means 400.
	AppendRate float64
	// RetainAge and RetainCount bound the age and the number of the records that
	// each stream keeps; 0 means no bound.
	RetainAge   time.Duration
	RetainCount int
}

// LogFaults are the faults that a Log simulates. The zero value means none.
type LogFaults struct {
	// Down closes the connection of every request, which then has no effect.
	Down bool `json:"down"`
	// Delay is the time before a request takes effect.
	Delay Duration `json:"delay"`
	// LoseAnswer closes the connection after an append, instead of a response.
	LoseAnswer bool `json:"lose-answer"`
	// LateAppend closes the connection at once and appends after this time.
	LateAppend Duration `json:"late-append"`
	// RejectRate is the fraction of appends, 0 to 1, that get status 503 and have
	// no effect.
	RejectRate float64 `json:"reject-rate"`
}

// LogCounts are the counters of a Log. Rejected appends are not in Appends.
type LogCounts struct {
	Appends  int `json:"appends"`
	Rejected int `json:"rejected"`
	Reads    int `json:"reads"`
}

// Log simulates the append-only log of the platform. It keeps its streams in memory
// and is safe for concurrent use.
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

// logPage is the body of a response to a read. First is the oldest offset that the
// stream still has, Next the offset of the next append.
type logPage struct {
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
	Records []logRecord `json:"records,omitempty"`
}

type logStream struct {
	records  []logRecord
	next     uint64
	appended chan struct{} // closed and replaced by each append
}

// NewLog returns a Log without streams. Start makes it reachable.
func NewLog(c LogConfig) *Log {
	if c.AppendRate == 0 {
		c.AppendRate = defaultAppendRate
	}
	return &Log{config: c, appendLimiter: newTokenBucket(c.AppendRate), streams: make(map[string]*logStream)}
}

// Start listens on the configured address and serves requests until Close.
func (l *Log) Start() error { return l.listen(l.config.Address, l.handle) }

// Counts returns a copy of the counters.
func (l *Log) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Append adds a record and returns its offset. The simulated faults and the append
// rate do not apply. A stream that does not exist is created.
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

// Truncate drops the records of a stream with an offset below first.
func (l *Log) Truncate(stream string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streamNamed(stream)
	for len(s.records) > 0 && s.records[0].Offset < first {
		s.records = s.records[1:]
	}
}

// streamNamed returns the stream and creates it if it does not exist. l.mu must be
// held.
func (l *Log) streamNamed(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{next: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// applyRetention drops the records beyond the configured count and age. l.mu must
// be held.
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
	if l.faultSettings.handle(ctx) {
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
		respondError(ctx, fasthttp.StatusNotFound, "the log has no such path")
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
		respondError(ctx, status, "append rejected by the append rate or the reject-rate fault")
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

// handleRead returns the records from an offset. With a wait time it waits for the
// first one. Status 410 says that the offset is below the oldest record.
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

// readPage returns at most limit records from an offset, and a channel that is
// closed at the next append to the stream.
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
