package drdemo

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a demonstration that cannot start because no client account of its
// declarations may use two models and a service. This happened with retoque.
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
