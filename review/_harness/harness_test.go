// Package harness_test runs one case of the review: it starts VMs of the system as
// separate processes beside stand-ins of the platform, and checks one rule. It is built
// by `go test -c` and must be started in the root of the repository, after the build of
// the deploy file:
//
//	harness CASE with|without RECORD
package harness_test

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

const (
	// Exit statuses.
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
	// Values of the argument that says whether the disruption takes place.
	withDisruption    = "with"
	withoutDisruption = "without"
	// runLimit bounds a run.
	runLimit = 110 * time.Second
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. A case runs without its disruption if trouble is not
// set, and returns errBroken if the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) error{
	"chunked":        chunkedCase,
	"drain":          drainCase,
	"leaving-client": leavingClientCase,
	"poison":         poisonCase,
	"stop":           stopCase,
	"unframed":       unframedCase,
}

// TestMain runs the case that the arguments name instead of tests.
func TestMain(_ *testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[2] != withDisruption && os.Args[2] != withoutDisruption {
		fmt.Fprintln(os.Stderr, "usage: harness CASE with|without RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2] == withDisruption, os.Args[3]))
}

// run runs a case and returns the exit status. It ends all processes that the case has
// started.
func run(name string, trouble bool, recordPath string) int {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer out.Close()
	log := &record{out: out, start: time.Now()}
	f, err := newFleet(log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer f.close()
	log.printf("case %s, trouble %t", name, trouble)
	ended := make(chan error, 1)
	go func() { ended <- cases[name](f, trouble) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case err = <-ended:
	case s := <-stop:
		err = fmt.Errorf("ended by %s", s)
	case <-time.After(runLimit):
		err = fmt.Errorf("not done after %s", runLimit)
	}
	status := statusHeld
	switch {
	case errors.Is(err, errBroken):
		status = statusBroken
	case err != nil:
		status = statusNotRun
	}
	log.printf("exit status %d: %v", status, err)
	fmt.Printf("%s, trouble %t: exit status %d: %v\n", name, trouble, status, err)
	return status
}
