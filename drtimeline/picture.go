package drtimeline

import (
	_ "embed" // embeds the page template
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drcollection"
)

// Geometry of the picture, in SVG user units (pixels at scale 1).
const (
	laneHeight   = 92
	leftMargin   = 130
	diagramWidth = 1400
	axisHeight   = 34
	rightMargin  = 150
	maxTicks     = 10
	// A label takes letterWidth for each letter and labelGap. One that does not
	// fit beside the labels before it goes to another row.
	labelCharWidth = 6
	labelGap       = 10
	labelRowHeight = 11
	labelRowsBelow = 3 // rows below the lane
	labelRows      = 6
)

//go:embed picture.html.tmpl
var diagramTemplateText string

var diagramTemplate = template.Must(template.New("picture").Parse(diagramTemplateText))

type timelineDiagram struct {
	Width, Height int
	Left, Right   int
	Lanes         []lane
	Marks         []mark
	Links         []link
	Ticks         []tick
	Rows          []tableRow
}

type lane struct {
	VM string
	Y  int
}

type mark struct {
	X, Y, LabelY int
	Count        int // events that the label stands for
	Name, Title  string
	Color        string
}

type link struct{ X1, Y1, X2, Y2 int }

type tick struct {
	X     int
	Label string
}

type tableRow struct{ Time, VM, Name, Attributes string }

// WriteHTML writes a self-contained page with one lane for each VM. Events of
// the same request are joined by a line, and so are the wake-up and the loads
// of the same model.
func WriteHTML(w io.Writer, events []Event) error {
	return diagramTemplate.Execute(w, newTimelineDiagram(events))
}

func newTimelineDiagram(events []Event) timelineDiagram {
	vms := drcollection.Of[string]()
	for _, e := range events {
		vms.Add(e.VM)
	}
	diagram := timelineDiagram{Width: diagramWidth, Left: leftMargin, Right: diagramWidth - rightMargin}
	laneY := make(map[string]int)
	for i, vm := range drcollection.Sorted(vms) {
		y := axisHeight + laneHeight/2 + i*laneHeight
		laneY[vm] = y
		diagram.Lanes = append(diagram.Lanes, lane{VM: vm, Y: y})
	}
	diagram.Height = axisHeight + laneHeight*len(diagram.Lanes) + laneHeight/2
	if len(events) == 0 {
		return diagram
	}
	first, last := events[0].Stamp.Time(), events[len(events)-1].Stamp.Time()
	span := max(last.Sub(first), time.Millisecond)
	timeToX := func(instant time.Time) int {
		return diagram.Left + int(float64(diagram.Right-diagram.Left)*float64(instant.Sub(first))/float64(span))
	}
	diagram.Ticks = newTicks(first, span, timeToX)
	diagram.Marks, diagram.Links = newMarks(events, laneY, timeToX)
	for _, e := range events {
		diagram.Rows = append(diagram.Rows, tableRow{e.Stamp.Time().UTC().Format(textTimeFormat), e.VM, e.Name, formatAttributes(e)})
	}
	return diagram
}

func newTicks(first time.Time, span time.Duration, timeToX func(time.Time) int) []tick {
	var ticks []tick
	step := tickStep(span)
	for offset := time.Duration(0); offset <= span; offset += step {
		ticks = append(ticks, tick{X: timeToX(first.Add(offset)), Label: "+" + offset.String()})
	}
	return ticks
}

// tickStep returns the smallest step of 1, 2 or 5 times a power of ten that
// gives at most maxTicks ticks after the first.
func tickStep(span time.Duration) time.Duration {
	for unit := time.Microsecond; ; unit *= 10 {
		for _, multiple := range []time.Duration{1, 2, 5} {
			if span/(multiple*unit) <= maxTicks {
				return multiple * unit
			}
		}
	}
}

func newMarks(events []Event, laneY map[string]int, timeToX func(time.Time) int) ([]mark, []link) {
	var marks []mark
	var links []link
	lastMarkByRequest, lastMarkByModel := make(map[string]mark), make(map[string]mark)
	rowEndsByVM := make(map[string]*[labelRows]int)
	lastLabelled := make(map[string]int) // index of the last mark with a label
	for _, e := range events {
		m := mark{X: timeToX(e.Stamp.Time()), Y: laneY[e.VM], Name: e.Name, Title: e.Name + formatAttributes(e), Color: eventColor(e.Name)}
		rowEnds := rowEndsByVM[e.VM]
		if rowEnds == nil {
			rowEnds = new([labelRows]int)
			rowEndsByVM[e.VM] = rowEnds
		}
		if i, ok := lastLabelled[e.VM+" "+e.Name]; ok && m.X-marks[i].X < labelGap {
			// One label stands for events of the same name at the same place.
			marks[i].Count++
			m.Name = ""
		} else if labelRow := slices.IndexFunc(rowEnds[:], func(end int) bool { return end <= m.X }); labelRow >= 0 {
			rowEnds[labelRow] = m.X + len(m.Name)*labelCharWidth + labelGap
			if m.LabelY = m.Y + 3 + (labelRow+1)*labelRowHeight; labelRow >= labelRowsBelow {
				m.LabelY = m.Y + 3 - (labelRow-labelRowsBelow+1)*labelRowHeight
			}
			m.Count = 1
			lastLabelled[e.VM+" "+e.Name] = len(marks)
		} else {
			m.Name = ""
		}
		if e.RequestID != "" {
			links = appendLink(links, lastMarkByRequest, e.RequestID, m)
		}
		// What a request's wake-up causes on other VMs carries no request id.
		if e.Model != "" && (e.RequestID == "" || e.Name == WakeRequested || e.Name == WakeAnswered) {
			links = appendLink(links, lastMarkByModel, e.Model, m)
		}
		marks = append(marks, m)
	}
	return marks, links
}

// appendLink adds a link from the last mark of the chain to m.
func appendLink(links []link, lastMarks map[string]mark, chainID string, current mark) []link {
	if previous, ok := lastMarks[chainID]; ok {
		links = append(links, link{previous.X, previous.Y, current.X, current.Y})
	}
	lastMarks[chainID] = current
	return links
}

// eventColor returns a colour that stays the same for an event name.
func eventColor(name string) string {
	palette := []string{"#1b6ca8", "#b8430e", "#2e7d32", "#6a3d9a", "#8a6d00", "#00838f", "#ad1457", "#455a64"}
	hash := 0
	for _, r := range name {
		hash = (hash*31 + int(r)) % 1_000_003
	}
	return palette[hash%len(palette)]
}
