package drcommand

import (
	"context"

	"github.com/dotterelridge/dotterelridge/dradmin"
)

func runDiff(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "diff", "FILE|FOLDER...")
	var admin adminOptions
	admin.register(fs)
	prune := fs.Bool("prune", false, "show objects as deleted that are not declared, of the declared kinds")
	if err := parse(fs, args, 1, maxPaths); err != nil {
		return err
	}
	admin.resolve()
	ctx, cancel := context.WithTimeout(ctx, admin.timeout)
	defer cancel()
	d, err := compare(ctx, env, dradmin.NewClient(admin.address, admin.token), *prune, fs.Args())
	if err != nil {
		return err
	}
	d.write(env)
	return nil
}
