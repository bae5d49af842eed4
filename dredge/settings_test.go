package dredge_test

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/dredge"
)

var update = flag.Bool("update", false, "write the reference page")

// Guards against a reference page that is out of date because a setting was
// changed without running go generate.
func TestReference(t *testing.T) {
	is := is.New(t)
	const pagePath = "../docs/settings-edge.md"
	if *update {
		is.NoErr(os.WriteFile(pagePath, []byte(dredge.Reference()), 0o644))
	}
	got, err := os.ReadFile(pagePath)
	is.NoErr(err)
	is.Equal(string(got), dredge.Reference()) // run go generate ./dredge
}

const validSettings = `{
  // as the platform renders it
  "vm": "front-1", "zone": "z1", "store-address": "10.0.0.9:80",
  "addresses": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81", "peers": "10.0.0.1:82", "metrics": "10.0.0.1:83"},
  "revocation": "5000ms", "grace-period": "8s",
  "retry-budget": {"share": 0.2, "extra": 129, "window": "10s",},
}`

// Guards against accepting settings that can't work: missing or malformed
// values, values below their minimum and unknown names.
func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	s, problems := dredge.Parse("f", []byte(validSettings))
	is.Equal(len(problems), 0)
	is.Equal(time.Duration(s.Revocation), 5*time.Second)
	is.Equal(s.RetryBudget.Extra, 129.0)
	for old, bad := range map[string]string{
		`"vm": "front-1"`:          `"vm": ""`,
		`"zone": "z1"`:             `"zone": ""`,
		`10.0.0.9:80`:              `store`,
		`"revocation": "5000ms"`:   `"revocation": "1s"`,
		`"grace-period": "8s"`:     `"grace-period": "8"`,
		`"grace-period": "8s",`:    `"grace-period": "8s", "config-propagation": "1ms",`,
		`10.0.0.9:80",`:            `10.0.0.9:80", "runner-drain": "1ms",`,
		`"vm": "front-1", "zone"`:  `"vm": "front-1", "runner-heartbeat": "1ms", "zone"`,
		`"vm": "front-1",`:         `"vm": "front-1", "processor-share": 0,`,
		`"revocation": "5000ms",`:  `"revocation": "5000ms", "quota-slack": -1,`,
		`"zone": "z1",`:            `"zone": "z1", "descriptor-limit": -1,`,
		`"share": 0.2`:             `"share": -1`,
		`"window": "10s"`:          `"window": "1ms"`,
		`"callers": "10.0.0.1:80"`: `"caller": "10.0.0.1:80"`,
	} {
		_, problems := dredge.Parse("f", []byte(strings.Replace(validSettings, old, bad, 1)))
		if len(problems) == 0 {
			t.Errorf("%s is accepted", bad)
		}
	}
}
