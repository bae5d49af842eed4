package dridempotency

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that runs are repeatable,
// and limits them to 30 checks. The flags -rapid.seed and -rapid.checks override
// both.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("30")
	}
	os.Exit(m.Run())
}
