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

// at returns the stamp of the given milliseconds.
func at(ms uint64) drtimeline.Stamp { return drtimeline.Stamp(ms << 16) }

// Guards against a merge that depends on which VM answered first, and against
// a filter that lets other requests through.
func TestMergeOrdersAndFilters(t *testing.T) {
	is := is.New(t)
	a := []drtimeline.Event{{Stamp: at(5), VM: "vm-a", Name: "wake", RequestID: "r1"}, {Stamp: at(9), VM: "vm-a", Name: "done", RequestID: "r1"}}
	b := []drtimeline.Event{{Stamp: at(7), VM: "vm-b", Name: "load", RequestID: "r1"}, {Stamp: at(8), VM: "vm-b", Name: "load", RequestID: "r2"}}
	f := drtimeline.Filter{RequestID: "r1"}
	one, two := drtimeline.Merge(f, a, b), drtimeline.Merge(f, b, a)
	is.Equal(one, two)
	is.Equal(len(one), 3)
	is.Equal(one[1].VM, "vm-b")
}

// Guards against event fields that break out of the page.
func TestWriteHTMLEscapes(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(drtimeline.WriteHTML(&out, []drtimeline.Event{{Stamp: at(1), VM: "vm-a", Name: "<script>alert(1)</script>"}}))
	is.True(!strings.Contains(out.String(), "<script>"))
}

func ExampleWriteText() {
	_ = drtimeline.WriteText(os.Stdout, []drtimeline.Event{
		{Stamp: at(1000), VM: "vm-a", Name: "load-started", Model: "roster", Backend: "runner-3", Took: 1500 * time.Millisecond},
	})
	// Output: 00:00:01.000 vm-a       load-started          model=roster backend=runner-3 took=1.5s
}
