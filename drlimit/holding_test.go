package drlimit

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a new holder that refills a share while loans of the
// previous holder are still in use, which together exceed the burst.
func TestNewShareWaitsForOldLoans(t *testing.T) {
	is := is.New(t)
	var e holding
	is.Equal(e.update(2, epoch), 0)
	is.Equal(e.update(2, epoch.Add(loanLifetime)), 0)
	now := epoch.Add(loanLifetime + loanMargin)
	is.Equal(e.update(2, now), 2)
	is.Equal(e.update(3, now), 2)
	is.Equal(e.update(1, now), 1) // a lost share stops at once
}
