package drcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drerror"
)

const (
	// submitAttempts is how often a change is sent while its result is unknown.
	// Repeats are harmless because the change id makes the change idempotent.
	submitAttempts = 3
	// inForcePollInterval is the pause between two queries of which entry VMs
	// have applied the change.
	inForcePollInterval = 100 * time.Millisecond
)

// runApply submits the difference between the declarations and the configuration
// in force as one change. With -wait it returns once every live entry VM has
// applied the change.
func runApply(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "apply", "FILE|FOLDER...")
	var admin adminOptions
	admin.register(fs)
	prune := fs.Bool("prune", false, "delete objects that are not declared, of the declared kinds")
	waitForChange := fs.Bool("wait", false, "wait until the change is in force on every live entry VM")
	waitTimeout := fs.Duration("wait-for", defaultWait, "how long -wait waits")
	changeID := fs.String("change-id", "", "id that makes the change idempotent; random if empty")
	if err := parse(fs, args, 1, maxPaths); err != nil {
		return err
	}
	client, err := admin.client()
	if err != nil {
		return err
	}
	if *changeID == "" {
		*changeID = uuid.NewString()
	}
	requestCtx, cancel := context.WithTimeout(ctx, admin.timeout)
	defer cancel()
	diff, err := compareWithInForce(requestCtx, env, client, *prune, fs.Args())
	if err != nil {
		return err
	}
	diff.print(env)
	offset := diff.offset
	if len(diff.puts)+len(diff.deletes) > 0 {
		res, err := submit(requestCtx, client, diff.change(*changeID))
		if err != nil {
			return err
		}
		if !res.Accepted {
			for _, p := range res.Problems {
				fmt.Fprintln(env.stderr, p)
			}
			return fmt.Errorf("%w: change %s", errRejected, *changeID)
		}
		offset = res.Offset
		fmt.Fprintf(env.stdout, "accepted offset=%d change=%s\n", offset, *changeID)
	}
	if !*waitForChange {
		return nil
	}
	return waitInForce(ctx, env, client, offset, *waitTimeout)
}

// submit sends a change and repeats it, up to submitAttempts times in all, after
// errors that leave open whether the change was accepted.
func submit(ctx context.Context, client *dradmin.Client, change dradmin.Change) (dradmin.ChangeResult, error) {
	var err error
	for range submitAttempts {
		var res dradmin.ChangeResult
		if res, err = client.Submit(ctx, change); err == nil || drerror.VerdictOf(err) == drerror.NotRun {
			return res, err
		}
	}
	return dradmin.ChangeResult{}, err
}

// waitInForce polls until every live entry VM has applied the configuration at
// offset. After the timeout it prints the VMs that lag and returns
// errNotInForce.
func waitInForce(ctx context.Context, env environment, client *dradmin.Client, offset uint64, timeout time.Duration) error {
	clock := drclock.System{}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := clock.Now()
	var lastState dradmin.InForce
	for {
		state, err := client.InForce(ctx)
		if err == nil {
			lastState = state
			if lowest, _ := state.MinOffset(); lowest >= offset && len(state.VMs) > 0 {
				fmt.Fprintf(env.stdout, "in-force offset=%d vms=%d after=%s\n", offset, len(state.VMs), clock.Since(start).Round(time.Millisecond))
				return nil
			}
		}
		if clock.Sleep(ctx, inForcePollInterval) != nil {
			break
		}
	}
	for _, v := range lastState.VMs {
		if v.Offset < offset || v.Error != "" {
			fmt.Fprintf(env.stderr, "%s lags: offset=%d %s\n", v.VM, v.Offset, v.Error)
		}
	}
	return fmt.Errorf("%w after %s: offset %d", errNotInForce, timeout, offset)
}
