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

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1 // the command could not do its work
	exitUsage    = 2 // the command line is wrong
	exitRejected = 3 // declarations are invalid, or a change was rejected
	exitNotYet   = 4 // accepted, but not in force everywhere in time
)

// errUsage marks errors of the command line.
var errUsage = errors.New("usage")

// errRejected marks invalid declarations and rejected changes.
var errRejected = errors.New("rejected")

// errNotYet marks a change that is not in force everywhere in time.
var errNotYet = errors.New("not in force")

// environment is what a subcommand works with.
type environment struct {
	out, err io.Writer
}

// command is one subcommand.
type command struct {
	name    string
	summary string
	// run ends when ctx does, which a SIGINT or SIGTERM brings about.
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
		{"timeline", "print the events of all live entry VMs in order", runTimeline},
		{"capacity", "measure what the roles of an entry VM cost, and write docs/CAPACITY.md", runCapacity},
		{"key", "make a key of a client account and print its declaration", runKey},
		{"load", "generate load and report latencies and refusals", runLoad},
		{"measure", "measure the targets in process against baseline policies", runMeasure},
		{"standin", "run a stand-in of a platform service for tests", runStandin},
		{"version", "print the version", runVersion},
	}
}

// Run executes the subcommand named by args[0] and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := environment{out: out, err: errOut}
	if len(args) == 0 {
		usage(errOut)
		return exitUsage
	}
	if name := args[0]; name == "help" || name == "-h" || name == "-help" || name == "--help" {
		usage(out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return exitCode(env, c.name, c.run(ctx, env, args[1:]))
		}
	}
	fmt.Fprintf(errOut, "dotterelridge: unknown command %q\n", args[0])
	usage(errOut)
	return exitUsage
}

func exitCode(env environment, name string, err error) int {
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	}
	fmt.Fprintf(env.err, "dotterelridge %s: %v\n", name, err)
	switch {
	case errors.Is(err, errRejected):
		return exitRejected
	case errors.Is(err, errNotYet):
		return exitNotYet
	default:
		return exitFailed
	}
}

func usage(w io.Writer) {
	fmt.Fprint(w, "usage: dotterelridge COMMAND [options]\n\ncommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-10s%s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\n'dotterelridge COMMAND -h' lists the options of a command.\n")
}
