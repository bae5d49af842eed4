package drserve

import (
	"math"
	"strconv"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drmetric"
)

// meter implements drgateway.Meter and drtokenshare.Meter. The histograms that most
// requests update are looked up only once.
type meter struct {
	metrics    *drmetric.Metrics
	firstToken func(time.Duration)
	nextToken  func(time.Duration)
	coldStart  func(time.Duration)
}

func newMeter(metrics *drmetric.Metrics) *meter {
	observer := func(name string) func(time.Duration) {
		h := metrics.Histogram(name)
		return func(d time.Duration) { h.Update(int64(d)) }
	}
	return &meter{
		metrics: metrics, firstToken: observer(drmetric.TimeToFirstToken), nextToken: observer(drmetric.InterTokenLatency),
		coldStart: observer(drmetric.ColdStartWait),
	}
}

// Ended implements drgateway.Meter.
func (m *meter) Ended(status int, reason string) {
	m.metrics.Counter(drmetric.Requests, strconv.Itoa(status)).Inc(1)
	if reason != "" {
		m.metrics.Counter(drmetric.Refusals, reason).Inc(1)
	}
}

// Admitted implements drgateway.Meter.
func (m *meter) Admitted(priority drconfig.Priority, wait time.Duration) {
	m.metrics.Observe(drmetric.QueueWait, wait, string(priority))
}

// ColdStart implements drgateway.Meter.
func (m *meter) ColdStart(wait time.Duration) { m.coldStart(wait) }

// FirstToken implements drgateway.Meter.
func (m *meter) FirstToken(wait time.Duration) { m.firstToken(wait) }

// NextToken implements drgateway.Meter.
func (m *meter) NextToken(gap time.Duration) { m.nextToken(gap) }

// Used implements drgateway.Meter.
func (m *meter) Used(account string, tokens float64) {
	m.addRounded(drmetric.ServedTokens, account, tokens)
}

// Borrowed implements drtokenshare.Meter.
func (m *meter) Borrowed(account string, tokens float64) {
	m.addRounded(drmetric.BorrowedTokens, account, tokens)
}

// Returned implements drtokenshare.Meter.
func (m *meter) Returned(account string, tokens float64) {
	m.addRounded(drmetric.ReturnedTokens, account, tokens)
}

// RefusedInRate implements drtokenshare.Meter.
func (m *meter) RefusedInRate(account string) { m.addRounded(drmetric.InRateRefusals, account, 1) }

// addRounded adds amount, rounded to a whole number, to the counter of an account.
func (m *meter) addRounded(name, account string, amount float64) {
	m.metrics.Counter(name, account).Inc(int64(math.Round(amount)))
}
