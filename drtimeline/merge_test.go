package drtimeline_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// stampAt returns the stamp with the given wall clock time and counter 0.
func stampAt(milliseconds uint64) drtimeline.Stamp { return drtimeline.Stamp(milliseconds << 16) }

// Guards against a merged order that depends on which VM answered first, and against
// a filter that selects the events of other requests.
func TestMergeOrdersAndFilters(t *testing.T) {
	is := is.New(t)
	eventsOfA := []drtimeline.Event{{Stamp: stampAt(5), VM: "vm-a", Name: "wake", RequestID: "r1"}, {Stamp: stampAt(9), VM: "vm-a", Name: "done", RequestID: "r1"}}
	eventsOfB := []drtimeline.Event{{Stamp: stampAt(7), VM: "vm-b", Name: "load", RequestID: "r1"}, {Stamp: stampAt(8), VM: "vm-b", Name: "load", RequestID: "r2"}}
	filter := drtimeline.Filter{RequestID: "r1"}
	mergedAB, mergedBA := drtimeline.Merge(filter, eventsOfA, eventsOfB), drtimeline.Merge(filter, eventsOfB, eventsOfA)
	is.Equal(mergedAB, mergedBA)
	is.Equal(len(mergedAB), 3)
	is.Equal(mergedAB[1].VM, "vm-b")
}

// Guards against HTML injection through event fields that are not escaped.
func TestWriteHTMLEscapes(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(drtimeline.WriteHTML(&out, []drtimeline.Event{{Stamp: stampAt(1), VM: "vm-a", Name: "<script>alert(1)</script>"}}))
	is.True(!strings.Contains(out.String(), "<script>"))
}

// Guards against labels that overlap when many events of one name happen on a VM at
// the same time. They share one label with a count.
func TestWriteHTMLJoinsLabels(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	owned := drtimeline.Event{Stamp: stampAt(1), VM: "vm-a", Name: drtimeline.RunnerOwned}
	is.NoErr(drtimeline.WriteHTML(&out, []drtimeline.Event{owned, owned, owned}))
	is.Equal(strings.Count(out.String(), ">runner-owned ×3</text>"), 1)
	is.Equal(strings.Count(out.String(), "<circle"), 3)
}

func ExampleWriteText() {
	_ = drtimeline.WriteText(os.Stdout, []drtimeline.Event{
		{Stamp: stampAt(1000), VM: "vm-a", Name: "load-started", Model: "roster", Backend: "runner-3", Took: 1500 * time.Millisecond},
	})
	// Output: 00:00:01.000 vm-a       load-started          model=roster backend=runner-3 took=1.5s
}
