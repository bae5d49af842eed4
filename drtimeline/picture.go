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
	laneHeight    = 92
	laneLabelEdge = 130
	pictureWidth  = 1400
	axisHeight    = 34
	rightMargin   = 150
	maxTicks      = 10
	// A label takes letterWidth for each letter and labelGap. One that does not
	// fit beside the labels before it goes to another row.
	letterWidth = 6
	labelGap    = 10
	rowHeight   = 11
	labelsBelow = 3 // rows below the lane
	labelRows   = 6
)

//go:embed picture.html.tmpl
var pictureSource string

var pictureTemplate = template.Must(template.New("picture").Parse(pictureSource))

type picture struct {
	Width, Height int
	Left, Right   int
	Lanes         []lane
	Marks         []mark
	Links         []link
	Ticks         []tick
	Rows          []row
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

type row struct{ Time, VM, Name, Attributes string }

// WriteHTML writes a self-contained page with one lane for each VM. Events of
// the same request are joined by a line, and so are the wake-up and the loads
// of the same model.
func WriteHTML(w io.Writer, es []Event) error {
	return pictureTemplate.Execute(w, newPicture(es))
}

func newPicture(es []Event) picture {
	vms := drcollection.Of[string]()
	for _, e := range es {
		vms.Add(e.VM)
	}
	p := picture{Width: pictureWidth, Left: laneLabelEdge, Right: pictureWidth - rightMargin}
	laneY := make(map[string]int)
	for i, vm := range drcollection.Sorted(vms) {
		y := axisHeight + laneHeight/2 + i*laneHeight
		laneY[vm] = y
		p.Lanes = append(p.Lanes, lane{VM: vm, Y: y})
	}
	p.Height = axisHeight + laneHeight*len(p.Lanes) + laneHeight/2
	if len(es) == 0 {
		return p
	}
	first, last := es[0].Stamp.Time(), es[len(es)-1].Stamp.Time()
	span := max(last.Sub(first), time.Millisecond)
	x := func(t time.Time) int {
		return p.Left + int(float64(p.Right-p.Left)*float64(t.Sub(first))/float64(span))
	}
	p.Ticks = newTicks(first, span, x)
	p.Marks, p.Links = newMarks(es, laneY, x)
	for _, e := range es {
		p.Rows = append(p.Rows, row{e.Stamp.Time().UTC().Format(textTimeFormat), e.VM, e.Name, attributes(e)})
	}
	return p
}

func newTicks(first time.Time, span time.Duration, x func(time.Time) int) []tick {
	var ts []tick
	step := tickStep(span)
	for d := time.Duration(0); d <= span; d += step {
		ts = append(ts, tick{X: x(first.Add(d)), Label: "+" + d.String()})
	}
	return ts
}

// tickStep returns the smallest step of 1, 2 or 5 times a power of ten that
// gives at most maxTicks ticks after the first.
func tickStep(span time.Duration) time.Duration {
	for unit := time.Microsecond; ; unit *= 10 {
		for _, n := range []time.Duration{1, 2, 5} {
			if span/(n*unit) <= maxTicks {
				return n * unit
			}
		}
	}
}

func newMarks(es []Event, laneY map[string]int, x func(time.Time) int) ([]mark, []link) {
	var ms []mark
	var ls []link
	lastOfRequest, lastOfModel := make(map[string]mark), make(map[string]mark)
	rowEnd := make(map[string]*[labelRows]int)
	labelled := make(map[string]int) // index of the last mark with a label
	for _, e := range es {
		m := mark{X: x(e.Stamp.Time()), Y: laneY[e.VM], Name: e.Name, Title: e.Name + attributes(e), Color: color(e.Name)}
		ends := rowEnd[e.VM]
		if ends == nil {
			ends = new([labelRows]int)
			rowEnd[e.VM] = ends
		}
		if i, ok := labelled[e.VM+" "+e.Name]; ok && m.X-ms[i].X < labelGap {
			// One label stands for events of the same name at the same place.
			ms[i].Count++
			m.Name = ""
		} else if r := slices.IndexFunc(ends[:], func(end int) bool { return end <= m.X }); r >= 0 {
			ends[r] = m.X + len(m.Name)*letterWidth + labelGap
			if m.LabelY = m.Y + 3 + (r+1)*rowHeight; r >= labelsBelow {
				m.LabelY = m.Y + 3 - (r-labelsBelow+1)*rowHeight
			}
			m.Count = 1
			labelled[e.VM+" "+e.Name] = len(ms)
		} else {
			m.Name = ""
		}
		if e.RequestID != "" {
			ls = join(ls, lastOfRequest, e.RequestID, m)
		}
		// What a request's wake-up causes on other VMs carries no request id.
		if e.Model != "" && (e.RequestID == "" || e.Name == WakeRequested || e.Name == WakeAnswered) {
			ls = join(ls, lastOfModel, e.Model, m)
		}
		ms = append(ms, m)
	}
	return ms, ls
}

// join adds a link from the last mark of the chain to m.
func join(ls []link, last map[string]mark, chain string, m mark) []link {
	if prev, ok := last[chain]; ok {
		ls = append(ls, link{prev.X, prev.Y, m.X, m.Y})
	}
	last[chain] = m
	return ls
}

// color returns a colour that stays the same for an event name.
func color(name string) string {
	palette := []string{"#1b6ca8", "#b8430e", "#2e7d32", "#6a3d9a", "#8a6d00", "#00838f", "#ad1457", "#455a64"}
	h := 0
	for _, r := range name {
		h = (h*31 + int(r)) % 1_000_003
	}
	return palette[h%len(palette)]
}
