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
	// submitAttempts bounds the repeats of a change whose result is unknown.
	// Its id makes repeats harmless.
	submitAttempts = 3
	inForcePoll    = 100 * time.Millisecond
)

func runApply(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "apply", "FILE|FOLDER...")
	var admin adminOptions
	admin.register(fs)
	prune := fs.Bool("prune", false, "delete objects that are not declared, of the declared kinds")
	wait := fs.Bool("wait", false, "wait until the change is in force on every live entry VM")
	waitFor := fs.Duration("wait-for", defaultWait, "how long -wait waits")
	id := fs.String("change-id", "", "id that makes the change idempotent; random if empty")
	if err := parse(fs, args, 1, maxPaths); err != nil {
		return err
	}
	client, err := admin.client()
	if err != nil {
		return err
	}
	if *id == "" {
		*id = uuid.NewString()
	}
	sctx, cancel := context.WithTimeout(ctx, admin.timeout)
	defer cancel()
	d, err := compare(sctx, env, client, *prune, fs.Args())
	if err != nil {
		return err
	}
	d.write(env)
	offset := d.offset
	if len(d.puts)+len(d.deletes) > 0 {
		res, err := submit(sctx, client, d.change(*id))
		if err != nil {
			return err
		}
		if !res.Accepted {
			for _, p := range res.Problems {
				fmt.Fprintln(env.err, p)
			}
			return fmt.Errorf("%w: change %s", errRejected, *id)
		}
		offset = res.Offset
		fmt.Fprintf(env.out, "accepted offset=%d change=%s\n", offset, *id)
	}
	if !*wait {
		return nil
	}
	return waitInForce(ctx, env, client, offset, *waitFor)
}

// submit sends the change again while its result is unknown.
func submit(ctx context.Context, client *dradmin.Client, c dradmin.Change) (dradmin.ChangeResult, error) {
	var err error
	for range submitAttempts {
		var res dradmin.ChangeResult
		if res, err = client.Submit(ctx, c); err == nil || drerror.Of(err) == drerror.NotRun {
			return res, err
		}
	}
	return dradmin.ChangeResult{}, err
}

func waitInForce(ctx context.Context, env environment, client *dradmin.Client, offset uint64, limit time.Duration) error {
	clock := drclock.System{}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	start := clock.Now()
	var last dradmin.InForce
	for {
		f, err := client.InForce(ctx)
		if err == nil {
			last = f
			if lowest, _ := f.MinOffset(); lowest >= offset && len(f.VMs) > 0 {
				fmt.Fprintf(env.out, "in-force offset=%d vms=%d after=%s\n", offset, len(f.VMs), clock.Since(start).Round(time.Millisecond))
				return nil
			}
		}
		if clock.Sleep(ctx, inForcePoll) != nil {
			break
		}
	}
	for _, v := range last.VMs {
		if v.Offset < offset || v.Error != "" {
			fmt.Fprintf(env.err, "%s lags: offset=%d %s\n", v.VM, v.Offset, v.Error)
		}
	}
	return fmt.Errorf("%w after %s: offset %d", errNotYet, limit, offset)
}
