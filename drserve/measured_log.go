package drserve

import (
	"context"
	"errors"
	"time"

	"github.com/dotterelridge/dotterelridge/drerror"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

// measuredLog counts the appends and reads of the log by stream and result.
type measuredLog struct {
	log     drlog.Log
	metrics *drmetric.Metrics
}

// Append implements drlog.Appender. The result is "unknown" if the record may have
// been appended in spite of an error.
func (l measuredLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	offset, err := l.log.Append(ctx, stream, data)
	result := "appended"
	switch {
	case err == nil:
	case drerror.VerdictOf(err) == drerror.NotRun:
		result = "failed"
	default:
		result = "unknown"
	}
	l.metrics.Counter(drmetric.LogAppends, stream, result).Inc(1)
	return offset, err
}

// Read implements drlog.Reader. A read that is canceled because the VM stops is not
// counted. The answer that records are no longer retained counts as a read.
func (l measuredLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (drlog.Page, error) {
	page, err := l.log.Read(ctx, stream, from, limit, wait)
	_, gap := errors.AsType[*drlog.GapError](err)
	switch {
	case err == nil || gap:
		l.metrics.Counter(drmetric.LogReads, stream, "read").Inc(1)
	case !errors.Is(context.Cause(ctx), context.Canceled):
		l.metrics.Counter(drmetric.LogReads, stream, "failed").Inc(1)
	}
	return page, err
}
