package drcommand

import (
	"context"
	"fmt"
	"strings"

	"github.com/dotterelridge/dotterelridge/drmeasure"
)

// runMeasure runs the chosen scenarios of package drmeasure and prints the figures.
func runMeasure(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "measure", "")
	names := fs.String("scenario", "", "scenarios to run, separated by commas; all if empty")
	seed := fs.Uint64("seed", 1, "seed of the arrivals")
	asJSON := fs.Bool("json", false, "print JSON")
	list := fs.Bool("list", false, "list the scenarios")
	level := fs.String("log-level", "error", "lowest level of logged events: debug, info, warn or error")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	if *list {
		for _, s := range drmeasure.Scenarios() {
			fmt.Fprintf(env.stdout, "%-12s%s\n", s.Name, s.Summary)
		}
		return nil
	}
	if err := setLogging(env, *level); err != nil {
		return err
	}
	r, err := drmeasure.Run(ctx, drmeasure.Config{Scenarios: strings.FieldsFunc(*names, isComma), Seed: *seed})
	if err != nil {
		return err
	}
	if *asJSON {
		return r.WriteJSON(env.stdout)
	}
	return r.WriteText(env.stdout)
}
