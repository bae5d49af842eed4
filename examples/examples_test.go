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

// demoKeyRow matches a table row of a deployment's README.md with an account and
// its demonstration key.
var demoKeyRow = regexp.MustCompile("\\| (\\S+) \\| `(drk_demo_\\S+)` \\|")

// Guards against declarations and settings that no longer load, as after a change of
// their format, against sizes other than those of section 1.6 of the design, and
// against demonstration keys in a README.md that do not work.
func TestExamples(t *testing.T) {
	for _, e := range []struct {
		folder, engineFleet, addressPrefix string
		adapters                           int
		checksFencing                      bool
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
			result, _ := fold.Result("all")
			is.Equal(result, drconfig.Result{Offset: 1, Accepted: true})
			c := fold.Current()
			is.Equal(len(c.Models()), 50)
			is.Equal(len(c.Adapters()), e.adapters)
			is.Equal(len(c.Accounts()), 5)
			fleet, _ := c.Fleet(e.engineFleet)
			is.Equal(fleet.ChecksFencing, e.checksFencing)
			for _, m := range c.Models() {
				is.True(c.Replicas(m.Name).Max > 0) // every model can be loaded
			}
			template, err := os.ReadFile(filepath.Join(e.folder, "entry.jsonc"))
			is.NoErr(err)
			var s drsettings.Settings
			for n := range 16 {
				text := strings.ReplaceAll(string(template), e.addressPrefix+"1:", fmt.Sprintf("%s%d:", e.addressPrefix, n+1))
				s, problems = drsettings.Parse("entry.jsonc", []byte(strings.ReplaceAll(text, "entry-1\"", fmt.Sprintf("entry-%d\"", n+1))))
				is.Equal(problems, nil)
				is.Equal(s.Addresses.Peers, fmt.Sprintf("%s%d:8081", e.addressPrefix, n+1))
			}
			readme, err := os.ReadFile(filepath.Join(e.folder, "README.md"))
			is.NoErr(err)
			keys := demoKeyRow.FindAllStringSubmatch(string(readme), -1)
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
