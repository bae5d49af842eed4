package drerror_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drerror"
)

// Guards against an error without a verdict, or an unknown name of a verdict, that is
// reported as not-run, so that a request that may have run is resent.
func TestOfUnknownErrorIsMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(drerror.VerdictOf(errors.New("connection reset")), drerror.MayHaveRun)
	is.Equal(drerror.ParseVerdict("?"), drerror.MayHaveRun)
}

// Guards against a verdict and a reason that are lost when fmt.Errorf wraps an error.
func TestOfSeesThroughWrapping(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("dispatch: %w", drerror.New(drerror.NotRun, drerror.NoCapacity, "no runner for %q", "m"))
	is.Equal(drerror.VerdictOf(err), drerror.NotRun)
	is.Equal(drerror.ReasonOf(err), drerror.NoCapacity)
}

func ExampleVerdict() {
	fmt.Println(drerror.NotRun, drerror.MayHaveRun, drerror.Ran)
	// Output: not-run may-have-run ran
}
