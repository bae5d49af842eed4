// Package examples holds the configurations of the two demonstrations.
package examples

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

var demoKey = regexp.MustCompile("\\| (\\S+) \\| `(drk_demo_\\S+)` \\|")

// Guards against examples that no longer load, or that differ from the sizes
// of section 1.6 of the design.
func TestExamples(t *testing.T) {
	for _, e := range []struct {
		folder, engines, network string
		adapters                 int
		fencing                  bool
	}{
		{"fjordsnor", "ferje-llm", "127.0.1.", 60, true},
		{"retoque", "tinta-llm", "127.0.2.", 40, false},
	} {
		t.Run(e.folder, func(t *testing.T) {
			is := is.New(t)
			objects, problems := drconfig.Load(filepath.Join(e.folder, "declarations"))
			is.Equal(problems, nil)
			fold := drconfig.NewFold()
			fold.Apply(drlog.Record{Offset: 1, Data: drconfig.Change{ID: "all", Puts: objects}.Encode()})
			r, _ := fold.Result("all")
			is.Equal(r, drconfig.Result{Offset: 1, Accepted: true})
			c := fold.Current()
			is.Equal(len(c.Models()), 50)
			is.Equal(len(c.Adapters()), e.adapters)
			is.Equal(len(c.Accounts()), 5)
			fleet, _ := c.Fleet(e.engines)
			is.Equal(fleet.ChecksFencing, e.fencing)
			for _, m := range c.Models() {
				is.True(c.Replicas(m.Name).Max > 0) // every model can be loaded
			}
			template, err := os.ReadFile(filepath.Join(e.folder, "entry.jsonc"))
			is.NoErr(err)
			var s drsettings.Settings
			for n := range 16 {
				text := strings.ReplaceAll(string(template), e.network+"1:", fmt.Sprintf("%s%d:", e.network, n+1))
				s, problems = drsettings.Parse("entry.jsonc", []byte(strings.ReplaceAll(text, "entry-1\"", fmt.Sprintf("entry-%d\"", n+1))))
				is.Equal(problems, nil)
				is.Equal(s.Addresses.Peers, fmt.Sprintf("%s%d:8081", e.network, n+1))
			}
			readme, err := os.ReadFile(filepath.Join(e.folder, "README.md"))
			is.NoErr(err)
			keys := demoKey.FindAllStringSubmatch(string(readme), -1)
			is.Equal(len(keys), 5)
			for _, k := range keys {
				found, ok := c.Authenticate(k[2], s.Secret.Bytes())
				is.True(ok)
				is.Equal(found.Account, k[1])
				_, limited := c.Limit(found.Account)
				is.True(limited)
				is.True(len(c.ModelsFor(found.Account)) > 0)
			}
		})
	}
}
