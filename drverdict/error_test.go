package drverdict_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drverdict"
)

// Guards against an unclassified error being reported as "not run".
func TestOfUnknownErrorIsMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(drverdict.Of(errors.New("connection reset")), drverdict.MayHaveRun)
	is.Equal(drverdict.ParseVerdict("?"), drverdict.MayHaveRun)
}

// Guards against a verdict lost when an error is wrapped.
func TestOfSeesThroughWrapping(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("dispatch: %w", drverdict.New(drverdict.NotRun, drverdict.NoCapacity, "no runner for %q", "m"))
	is.Equal(drverdict.Of(err), drverdict.NotRun)
	is.Equal(drverdict.ReasonOf(err), drverdict.NoCapacity)
}

func ExampleVerdict() {
	fmt.Println(drverdict.NotRun, drverdict.MayHaveRun, drverdict.Ran)
	// Output: not-run may-have-run ran
}
