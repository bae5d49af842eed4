package drcommand

import (
	"context"
)

// runDiff prints what apply would change, without changing it.
func runDiff(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "diff", "FILE|FOLDER...")
	var admin adminOptions
	admin.register(fs)
	prune := fs.Bool("prune", false, "show objects as deleted that are not declared, of the declared kinds")
	if err := parse(fs, args, 1, maxPaths); err != nil {
		return err
	}
	client, err := admin.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, admin.timeout)
	defer cancel()
	diff, err := compareWithInForce(ctx, env, client, *prune, fs.Args())
	if err != nil {
		return err
	}
	diff.print(env)
	return nil
}
