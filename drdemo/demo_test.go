package drdemo

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a demonstration that cannot start because its declarations
// offer nothing to try, as the one of retoque once did.
func TestEveryDeploymentHasATour(t *testing.T) {
	for name, d := range Deployments() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			example, err := findUsageExample(d)
			is.NoErr(err)
			is.True(example.model != example.idleModel)
			is.True(example.service != "")
		})
	}
}
