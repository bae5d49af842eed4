// Package drcommand holds the subcommands of the dotterelridge program.
package drcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
)

// Exit codes of the program.
const (
	exitOK         = 0
	exitFailed     = 1 // any failure without an exit code of its own
	exitUsage      = 2 // the command line is wrong
	exitRejected   = 3 // settings or declarations are invalid, or a change was rejected
	exitNotInForce = 4 // the change was accepted, but some entry VM did not apply it within -wait-for
)

// errUsage is wrapped by errors in the command line; the exit code is exitUsage.
var errUsage = errors.New("usage")

// errRejected is wrapped by errors about invalid settings, invalid declarations and
// rejected changes; the exit code is exitRejected.
var errRejected = errors.New("rejected")

// errNotInForce is wrapped by the error about an accepted change that some entry VM did
// not apply in time; the exit code is exitNotInForce.
var errNotInForce = errors.New("not in force")

// environment holds the output streams of a subcommand.
type environment struct {
	stdout, stderr io.Writer
}

// command describes one subcommand.
type command struct {
	name    string
	summary string
	// run executes the subcommand. SIGINT and SIGTERM cancel ctx, upon which run
	// must return.
	run func(ctx context.Context, env environment, args []string) error
}

// commands returns the subcommands in the order of the usage text.
func commands() []command {
	return []command{
		{"demo", "run a whole system in one process on loopback addresses", runDemo},
		{"serve", "run one entry VM", runServe},
		{"edge", "run one entry VM on the users' platform", runEdge},
		{"check", "check settings and declarations without using the network", runCheck},
		{"diff", "show what apply would change", runDiff},
		{"apply", "make the declared objects the configuration", runApply},
		{"get", "print the configuration in force", runGet},
		{"status", "print the status of an entry VM", runStatus},
		{"explain", "ask an entry VM on the users' platform where a request would go now, and why", runExplain},
		{"timeline", "print the events of all live entry VMs in order", runTimeline},
		{"capacity", "measure what the roles of an entry VM cost, and write docs/capacity-serve.md", runCapacity},
		{"key", "make a key of a client account and print its declaration", runKey},
		{"load", "generate load and report latencies and refusals", runLoad},
		{"measure", "measure the targets in process against baseline policies", runMeasure},
		{"standin", "run a stand-in of a platform service for tests", runStandin},
		{"version", "print the version", runVersion},
	}
}

// Run executes the subcommand named by args[0] and returns the exit code. Errors are
// printed to stderr. SIGINT and SIGTERM end the subcommand.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := environment{stdout: stdout, stderr: stderr}
	if len(args) == 0 {
		printUsage(stderr)
		return exitUsage
	}
	if name := args[0]; name == "help" || name == "-h" || name == "-help" || name == "--help" {
		printUsage(stdout)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return reportError(env, c.name, c.run(ctx, env, args[1:]))
		}
	}
	fmt.Fprintf(stderr, "dotterelridge: unknown command %q\n", args[0])
	printUsage(stderr)
	return exitUsage
}

// reportError returns the exit code for the error of the named subcommand. It prints
// the error, unless it is nil or wraps flag.ErrHelp or errUsage.
func reportError(env environment, name string, err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	}
	fmt.Fprintf(env.stderr, "dotterelridge %s: %v\n", name, err)
	switch {
	case errors.Is(err, errRejected):
		return exitRejected
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	default:
		return exitFailed
	}
}

func printUsage(w io.Writer) {
	fmt.Fprint(w, "usage: dotterelridge COMMAND [options]\n\ncommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s%s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\n'dotterelridge COMMAND -h' lists the options of a command.\n")
}
