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

// Range and precision of the histograms: 1 µs to 10 min, 3 digits.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Latency holds quantiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50-ms"`
	P95   float64 `json:"p95-ms"`
	P99   float64 `json:"p99-ms"`
	Max   float64 `json:"max-ms"`
}

// AccountReport is how one client account was served.
type AccountReport struct {
	Account string `json:"account"`
	Sent    int    `json:"sent"`
	Served  int    `json:"served"`
	// Refused counts refusals by reason.
	Refused map[string]int `json:"refused,omitempty"`
	// InRateRefused counts over-rate refusals of requests that one central
	// bucket would have admitted.
	InRateRefused int     `json:"in-rate-refused"`
	UsedTokens    int     `json:"used-tokens"`
	AllowedTokens float64 `json:"allowed-tokens,omitempty"`
	FirstToken    Latency `json:"first-token"`
	BetweenTokens Latency `json:"between-tokens"`
	ColdStart     Latency `json:"cold-start"`
	Total         Latency `json:"total"`
}

// Report is the result of a run.
type Report struct {
	Seed     uint64          `json:"seed"`
	Seconds  float64         `json:"seconds"`
	Accounts []AccountReport `json:"accounts"`
}

// histograms collects the latencies of one account.
type histograms struct {
	firstToken, betweenTokens, coldStart, total *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

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

// record clamps to the histogram's range, so it cannot fail.
func record(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

func newLatency(histogram *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(histogram.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: histogram.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(histogram.Max()) / 1000}
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as a table.
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
