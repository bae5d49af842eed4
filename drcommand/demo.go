package drcommand

import (
	"context"
	"fmt"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drdemo"
)

// runDemo runs an example deployment until the time given by -for is over or a signal
// arrives.
func runDemo(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "demo", "")
	name := fs.String("deployment", "fjordsnor", "fjordsnor or retoque")
	duration := fs.Duration("for", 0, "end after this time; 0 means until SIGINT or SIGTERM")
	level := fs.String("log-level", "warn", "lowest level of logged events: debug, info, warn or error")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	deployment, ok := drdemo.Deployments()[*name]
	if !ok {
		return fmt.Errorf("%w: unknown deployment %q", errUsage, *name)
	}
	if err := setLogging(env, *level); err != nil {
		return err
	}
	if *duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, *duration)
		defer cancel()
	}
	return drdemo.Run(ctx, drdemo.Config{Deployment: deployment, Clock: drclock.System{}, Version: Version, Out: env.stdout})
}
