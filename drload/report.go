package drload

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms: 1 µs to 10 min with 3 significant
// digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency holds quantiles of a latency in milliseconds. Count is the number of values;
// if it is 0, the quantiles are 0.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// AccountReport holds the results of the requests of one client account. Sent is the
// number of all requests, Served that of complete answers.
type AccountReport struct {
	Account string `json:"account"`
	Sent    int    `json:"sent"`
	Served  int    `json:"served"`
	// Refused counts requests that were not served, by reason.
	Refused map[string]int `json:"refused,omitempty"`
	// InRateRefused counts requests refused for the rate that one central token
	// bucket would have admitted.
	InRateRefused int `json:"in-rate-refused"`
	UsedTokens    int `json:"used-tokens"`
	// AllowedTokens is what the account's limit allows over the run: its rate for
	// the whole time, plus its burst. It is 0 without a limit.
	AllowedTokens float64 `json:"allowed-tokens,omitempty"`
	// FirstToken and ColdStart are times to the first token: of requests for
	// Models and for IdleModels.
	FirstToken    Latency `json:"first-token"`
	BetweenTokens Latency `json:"between-tokens"`
	ColdStart     Latency `json:"cold-start"`
	Total         Latency `json:"total"`
}

// Report is the result of a run. Seconds is its length, including the wait for the last
// answers; Accounts are in the order of the profile.
type Report struct {
	Seed     uint64          `json:"seed"`
	Seconds  float64         `json:"seconds"`
	Accounts []AccountReport `json:"accounts"`
}

// histograms collects the latencies of one account, in microseconds.
type histograms struct {
	firstToken, betweenTokens, coldStart, total *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// newReport sorts the outcomes by the time of sending and summarizes them by account.
func newReport(profile Profile, outcomes []outcome, elapsed time.Duration) Report {
	report := Report{Seed: profile.Seed, Seconds: elapsed.Seconds()}
	slices.SortStableFunc(outcomes, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for i, a := range profile.Accounts {
		var accountOutcomes []outcome
		for _, o := range outcomes {
			if o.account == i {
				accountOutcomes = append(accountOutcomes, o)
			}
		}
		report.Accounts = append(report.Accounts, newAccountReport(a, accountOutcomes, elapsed))
	}
	return report
}

func newAccountReport(account Account, outcomes []outcome, elapsed time.Duration) AccountReport {
	report := AccountReport{Account: account.Name, Sent: len(outcomes), Refused: make(map[string]int)}
	h := histograms{newHistogram(), newHistogram(), newHistogram(), newHistogram()}
	for _, o := range outcomes {
		report.UsedTokens += o.usedTokens
		if !o.served() {
			report.Refused[o.reason]++
			continue
		}
		report.Served++
		firstToken := h.firstToken
		if o.coldStart {
			firstToken = h.coldStart
		}
		record(firstToken, o.timeToFirstToken)
		record(h.total, o.totalTime)
		for _, g := range o.tokenGaps {
			record(h.betweenTokens, g)
		}
	}
	report.InRateRefused = countInRateRefusals(account, outcomes)
	if account.LimitRate > 0 {
		report.AllowedTokens = account.LimitRate*elapsed.Seconds() + account.LimitBurst
	}
	report.FirstToken, report.BetweenTokens, report.ColdStart, report.Total = newLatency(h.firstToken), newLatency(h.betweenTokens), newLatency(h.coldStart), newLatency(h.total)
	return report
}

// record adds a latency. Values outside the histogram's range are clamped to it, so
// RecordValue cannot fail.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// newLatency converts the quantiles of a histogram from microseconds to milliseconds.
func newLatency(histogram *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: histogram.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(histogram.Max()) / 1000}
}

// WriteJSON writes the whole report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the main figures of the report as a table with one row per account.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %.1f s\n", r.Seed, r.Seconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ACCOUNT\tSENT\tSERVED\tREFUSED\tIN-RATE-REFUSED\tTOKENS\tALLOWED\tFIRST p50/p95/p99 ms\tBETWEEN p95 ms\tCOLD p50/p99 ms\tREASONS")
	for _, a := range r.Accounts {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.1f/%.1f/%.1f\t%.1f\t%.1f/%.1f\t%v\n",
			a.Account, a.Sent, a.Served, a.Sent-a.Served, a.InRateRefused, a.UsedTokens, a.AllowedTokens,
			a.FirstToken.P50, a.FirstToken.P95, a.FirstToken.P99, a.BetweenTokens.P95,
			a.ColdStart.P50, a.ColdStart.P99, a.Refused)
	}
	return t.Flush()
}
