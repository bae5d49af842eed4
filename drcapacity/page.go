package drcapacity

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/template"
)

// WritePage writes the page of a measurement to the file at path.
func WritePage(path string, measured Measurement) error {
	text, err := Page(measured)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(text), 0o644)
}

// Page returns the text of docs/capacity-serve.md for a measurement. It fails if a
// series that the page needs was not measured.
func Page(measured Measurement) (string, error) {
	m := &model{Measurement: measured}
	p := newPage(m)
	if m.err != nil {
		return "", m.err
	}
	var out strings.Builder
	err := pageTemplate.Execute(&out, p)
	return out.String(), err
}

// page is the data of pageTemplate, which refers to the fields by name. Before is
// the reads per second over all VMs if each VM read all 12 streams once a second.
// Share is the processor time of requests in percent of a core per VM.
type page struct {
	Measurement
	Rows     []Row
	Total    Row
	Streams  []streamRow
	Appends  float64
	Reads    float64
	Before   float64
	Requests []requestRow
	Share    float64
}

// streamRow is the traffic of one stream of the log.
type streamRow struct {
	Name           string
	Appends, Reads float64
	Cause          string
}

// requestRow is the processor time of a unit of request work: CPU and its standard
// error in microseconds, and Total in percent of a core per VM at target size.
type requestRow struct {
	Unit              string
	CPU, Error, Total float64
}

func newPage(m *model) page {
	p := page{Measurement: m.Measurement, Rows: m.rows(), Streams: m.streams(), Before: targetVMs * 12}
	p.Total.Role = "sum"
	for _, r := range p.Rows {
		p.Total.Messages += r.Messages
		p.Total.Bytes += r.Bytes
		p.Total.CPU += r.CPU
		p.Total.Memory += r.Memory
	}
	for _, s := range p.Streams {
		p.Appends += s.Appends
		p.Reads += s.Reads
	}
	p.Requests = m.requests()
	for _, r := range p.Requests {
		p.Share += r.Total
	}
	return p
}

// streams derives the traffic of the log over all VMs. Each VM holds one poll a
// second on each of the first four streams. On a once-N stream only the VMs that
// are homes do so; the others read once in 10 s. A record ends the held polls of
// its stream, so that these followers read once more.
func (m *model) streams() []streamRow {
	readsWith := func(appends float64) float64 { return targetVMs * (1 + appends) }
	const homeVMs = 3.0
	return []streamRow{
		{"config", targetChanges, readsWith(targetChanges), "20,000 changes a day"},
		{"placement", placementAppends, readsWith(placementAppends), "loads and unloads of engines that ignore fencing tokens, replaced entry VMs"},
		{"shares", shareAppends, readsWith(shareAppends), "replaced entry VMs; several shares fit into one record"},
		{"suspects", targetFailures, readsWith(targetFailures), "crashes of backend servers"},
		{
			"once-0 to once-7", onceAppends,
			onceStreams*(homeVMs*1+(targetVMs-homeVMs)/10) + homeVMs*onceAppends,
			"10 keyed calls/s; at most 400/s by batches of 20 ms",
		},
	}
}

// requests derives the cost of requests from two groups of fleets, which differ
// in the rate of requests and in the length of the answers.
func (m *model) requests() []requestRow {
	served := func(fleet Fleet) float64 { return fleet.Served / float64(fleet.VMs) }
	tokens := func(fleet Fleet) float64 { return fleet.Tokens / float64(fleet.VMs) }
	requestLine, tokenLine := m.fitFleets("requests", served, cpuOfRoles(roleCallers)), m.fitFleets("tokens", tokens, cpuOfRoles(roleCallers))
	const perVM, tokensPerVM = targetRequests / targetVMs, targetTokens / targetVMs
	return []requestRow{
		{"request with one token", requestLine.Slope * 1e4, slopeStandardError(requestLine) * 1e4, requestLine.Slope * perVM},
		{"each further token", tokenLine.Slope * 1e4, slopeStandardError(tokenLine) * 1e4, tokenLine.Slope * tokensPerVM},
	}
}

// slopeStandardError returns the standard error of a line's slope. Far from the
// mean, the line's error grows by this much per unit of x.
func slopeStandardError(line Line) float64 {
	if line.sumSquaresX == 0 {
		return 0
	}
	return (line.Error(line.meanX+1e6) - line.Error(line.meanX)) / 1e6
}

var pageTemplate = template.Must(template.New("capacity").Funcs(template.FuncMap{
	"num": formatNumber, "mb": func(v float64) string { return formatNumber(v / (1 << 20)) }, "unmet": Row.unmetBounds, "roles": formatLargestRoles,
	"fit": func(series Series) Line { return series.Fit() }, "noise": func(series Series) float64 { return 100 * series.noise() },
	"last": func(series Series) float64 { return series.Samples[len(series.Samples)-1].Size },
	"err":  func(line Line, x float64) float64 { return line.Error(x) }, "sizes": formatSizes,
}).Parse(pageText))

// formatNumber formats with three significant digits below 1000 and as a whole
// number from there on.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

func formatSizes(series Series) string {
	var texts []string
	for _, p := range series.Samples {
		texts = append(texts, formatNumber(p.Size))
	}
	return strings.Join(texts, ", ")
}

// formatLargestRoles lists the four control roles of a fleet that use the most
// processor time, with their percent of a core.
func formatLargestRoles(fleet Fleet) string {
	var names []string
	for n := range fleet.CPU {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int {
		switch {
		case fleet.CPU[a] > fleet.CPU[b]:
			return -1
		case fleet.CPU[a] < fleet.CPU[b]:
			return 1
		}
		return strings.Compare(a, b)
	})
	var texts []string
	for _, n := range names {
		if isControlRole(n) && len(texts) < 4 {
			texts = append(texts, fmt.Sprintf("%s %.3f", n, fleet.CPU[n]))
		}
	}
	return strings.Join(texts, ", ")
}
