package drcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drload"
)

// runLoad generates the load described by the options or a profile file and prints
// the report.
func runLoad(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "load", "")
	profilePath := fs.String("profile", "", "file with the load profile; the options below are ignored with it")
	targets := fs.String("targets", "", "callers' addresses of entry VMs, separated by commas")
	key := fs.String("key", "", "caller's key")
	models := fs.String("models", "", "models to ask, separated by commas")
	rate := fs.Float64("rate", defaultLoadRate, "requests per second")
	duration := fs.Duration("for", defaultLoadFor, "how long to send requests")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	maxTokens := fs.Int("max-tokens", 0, "output bound of each request; 0 for the default of 64")
	asJSON := fs.Bool("json", false, "print JSON")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	p := drload.Profile{
		Targets: strings.FieldsFunc(*targets, isComma),
		Seed:    *seed,
		Seconds: duration.Seconds(),
		Accounts: []drload.Account{{
			Name: "caller", Key: *key, Rate: *rate, Models: strings.FieldsFunc(*models, isComma), MaxTokens: *maxTokens,
		}},
	}
	if *profilePath != "" {
		var err error
		if p, err = drload.ReadProfile(*profilePath); err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	report, err := drload.Run(ctx, drclock.System{}, p)
	if err != nil {
		return err
	}
	if *asJSON {
		return report.WriteJSON(env.stdout)
	}
	return report.WriteText(env.stdout)
}

func isComma(r rune) bool { return r == ',' }
