package drtimeline

import (
	_ "embed" // embeds the page template
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/dotterelridge/dotterelridge/drcollection"
)

// Geometry of the diagram in SVG user units (pixels at scale 1).
const (
	laneHeight   = 92  // of one VM, including the rows of labels above and below its line
	leftMargin   = 130 // holds the names of the VMs
	diagramWidth = 1400
	axisHeight   = 34
	rightMargin  = 150 // leaves room for the labels of the last events
	maxTicks     = 10
	// The width of a label is estimated as labelCharWidth per byte plus labelGap. A
	// label that would overlap an earlier one goes to the next free row.
	labelCharWidth = 6
	labelGap       = 10
	labelRowHeight = 11
	labelRowsBelow = 3 // rows of labels below the line of a VM
	labelRows      = 6 // rows of labels of a VM, below and above its line
)

//go:embed picture.html.tmpl
var diagramTemplateText string

var diagramTemplate = template.Must(template.New("picture").Parse(diagramTemplateText))

// timelineDiagram is the data of the page template: a diagram with one lane for each
// VM, and a table of the events.
type timelineDiagram struct {
	Width, Height int
	Left, Right   int
	Lanes         []lane
	Marks         []mark
	Links         []link
	Ticks         []tick
	Rows          []tableRow
}

// lane is the horizontal line of one VM, at height Y.
type lane struct {
	VM string
	Y  int
}

// mark is the dot of one event. Name is its label, empty if the event has none;
// Title is the tooltip.
type mark struct {
	X, Y, LabelY int
	Count        int // events that share the label
	Name, Title  string
	Color        string
}

// link is a line between two marks.
type link struct{ X1, Y1, X2, Y2 int }

// tick is a labelled grid line of the time axis.
type tick struct {
	X     int
	Label string
}

// tableRow describes one event in the table below the diagram.
type tableRow struct{ Time, VM, Name, Attributes string }

// WriteHTML writes a self-contained HTML page with a diagram and a table of the
// events, which must be sorted by stamp, as Merge returns them. The diagram has one
// lane for each VM. Lines connect consecutive events of the same request, and
// consecutive wake-ups and loads of the same model.
func WriteHTML(w io.Writer, events []Event) error {
	return diagramTemplate.Execute(w, newTimelineDiagram(events))
}

func newTimelineDiagram(events []Event) timelineDiagram {
	vms := drcollection.NewSet[string]()
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

// newTicks returns the ticks of a time axis that starts at first and lasts span,
// labelled with the time since first.
func newTicks(first time.Time, span time.Duration, timeToX func(time.Time) int) []tick {
	var ticks []tick
	step := tickStep(span)
	for offset := time.Duration(0); offset <= span; offset += step {
		ticks = append(ticks, tick{X: timeToX(first.Add(offset)), Label: "+" + offset.String()})
	}
	return ticks
}

// tickStep returns the smallest step of 1, 2 or 5 times a power of ten, from 1 µs
// up, that divides span into at most maxTicks whole steps.
func tickStep(span time.Duration) time.Duration {
	for unit := time.Microsecond; ; unit *= 10 {
		for _, multiple := range []time.Duration{1, 2, 5} {
			if span/(multiple*unit) <= maxTicks {
				return multiple * unit
			}
		}
	}
}

// newMarks returns a mark for each event, in the order of events, and the links
// between marks of the same request or model. An event that finds no free row for
// its label has a mark without one.
func newMarks(events []Event, laneY map[string]int, timeToX func(time.Time) int) ([]mark, []link) {
	var marks []mark
	var links []link
	lastMarkByRequest, lastMarkByModel := make(map[string]mark), make(map[string]mark)
	rowEndsByVM := make(map[string]*[labelRows]int) // x coordinates where the last labels end
	lastLabelled := make(map[string]int)            // by VM and event name: index of the last mark with a label
	for _, e := range events {
		m := mark{X: timeToX(e.Stamp.Time()), Y: laneY[e.VM], Name: e.Name, Title: e.Name + formatAttributes(e), Color: eventColor(e.Name)}
		rowEnds := rowEndsByVM[e.VM]
		if rowEnds == nil {
			rowEnds = new([labelRows]int)
			rowEndsByVM[e.VM] = rowEnds
		}
		if i, ok := lastLabelled[e.VM+" "+e.Name]; ok && m.X-marks[i].X < labelGap {
			// Events of the same name whose marks lie close together share a label.
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
		// Events that a request's wake-up causes on other VMs have no request id, so
		// they are linked by model.
		if e.Model != "" && (e.RequestID == "" || e.Name == WakeRequested || e.Name == WakeAnswered) {
			links = appendLink(links, lastMarkByModel, e.Model, m)
		}
		marks = append(marks, m)
	}
	return marks, links
}

// appendLink links the current mark to the last mark of the same chain, if any, and
// makes it the last mark. A chain is a request or a model.
func appendLink(links []link, lastMarks map[string]mark, chainID string, current mark) []link {
	if previous, ok := lastMarks[chainID]; ok {
		links = append(links, link{previous.X, previous.Y, current.X, current.Y})
	}
	lastMarks[chainID] = current
	return links
}

// eventColor returns the color of an event name, which is the same on every page.
// Different names may share a color.
func eventColor(name string) string {
	palette := []string{"#1b6ca8", "#b8430e", "#2e7d32", "#6a3d9a", "#8a6d00", "#00838f", "#ad1457", "#455a64"}
	hash := 0
	for _, r := range name {
		hash = (hash*31 + int(r)) % 1_000_003
	}
	return palette[hash%len(palette)]
}
