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
	switches[LogFaults]
	config  LogConfig
	limit   *bucket
	mu      sync.Mutex
	streams map[string]*logStream
	counts  LogCounts
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
	records []logRecord
	next    uint64
	grown   chan struct{} // closed at the next append
}

// NewLog returns a Log with no streams.
func NewLog(c LogConfig) *Log {
	if c.AppendRate == 0 {
		c.AppendRate = defaultAppendRate
	}
	return &Log{config: c, limit: newBucket(c.AppendRate), streams: make(map[string]*logStream)}
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
	s := l.stream(stream)
	offset := s.next
	s.next++
	s.records = append(s.records, logRecord{offset, time.Now().UTC(), slices.Clone(data)})
	close(s.grown)
	s.grown = make(chan struct{})
	l.counts.Appends++
	l.trim(s)
	return offset
}

// Truncate drops the records of a stream below offset first.
func (l *Log) Truncate(stream string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	for len(s.records) > 0 && s.records[0].Offset < first {
		s.records = s.records[1:]
	}
}

func (l *Log) stream(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{next: 1, grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) trim(s *logStream) {
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
	if l.switches.handle(ctx) {
		return
	}
	if string(ctx.Path()) == countsPath {
		answerJSON(ctx, fasthttp.StatusOK, l.Counts())
		return
	}
	f := l.Faults()
	if f.Down || !l.pause(time.Duration(f.Delay)) {
		drop(ctx)
		return
	}
	p := segments(ctx)
	if len(p) != 4 || p[0] != "v1" || p[1] != "streams" || p[3] != "records" {
		answerError(ctx, fasthttp.StatusNotFound, "no such path")
		return
	}
	if ctx.IsPost() {
		l.append(ctx, f, p[2])
		return
	}
	l.read(ctx, p[2])
}

func (l *Log) append(ctx *fasthttp.RequestCtx, f LogFaults, stream string) {
	status := 0
	switch {
	case !l.limit.take():
		status = fasthttp.StatusTooManyRequests
	case f.RejectRate > 0 && rand.Float64() < f.RejectRate:
		status = fasthttp.StatusServiceUnavailable
	}
	if status != 0 {
		l.mu.Lock()
		l.counts.Rejected++
		l.mu.Unlock()
		answerError(ctx, status, "append refused")
		return
	}
	if f.LateAppend > 0 {
		data := slices.Clone(ctx.PostBody())
		time.AfterFunc(time.Duration(f.LateAppend), func() { l.Append(stream, data) })
		drop(ctx)
		return
	}
	offset := l.Append(stream, ctx.PostBody())
	if f.LoseAnswer {
		drop(ctx)
		return
	}
	answerJSON(ctx, fasthttp.StatusOK, map[string]uint64{"offset": offset})
}

func (l *Log) read(ctx *fasthttp.RequestCtx, stream string) {
	wait, err := waitArg(ctx)
	if err != nil {
		answerError(ctx, fasthttp.StatusBadRequest, "%v", err)
		return
	}
	from := numberArg(ctx, "from", 1)
	limit := min(numberArg(ctx, "max", maxPageRecords), maxPageRecords)
	end := time.NewTimer(wait)
	defer end.Stop()
	l.mu.Lock()
	l.counts.Reads++
	l.mu.Unlock()
	for last := wait == 0; ; {
		p, grown := l.page(stream, from, int(limit))
		switch {
		case from < p.First:
			answerJSON(ctx, fasthttp.StatusGone, p)
			return
		case len(p.Records) > 0 || last:
			answerJSON(ctx, fasthttp.StatusOK, p)
			return
		}
		select {
		case <-grown:
		case <-end.C:
			last = true
		case <-l.done:
			drop(ctx)
			return
		}
		if l.Faults().Down {
			drop(ctx)
			return
		}
	}
}

// page returns the records from an offset, and a channel that is closed at
// the next append.
func (l *Log) page(stream string, from uint64, limit int) (logPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	l.trim(s)
	p := logPage{First: s.next - uint64(len(s.records)), Next: s.next}
	if from < p.First || from >= s.next {
		return p, s.grown
	}
	size := 0
	for _, r := range s.records[from-p.First:] {
		size += len(r.Data)
		if len(p.Records) == limit || (size > maxPageBytes && len(p.Records) > 0) {
			break
		}
		p.Records = append(p.Records, r)
	}
	return p, s.grown
}
