// Package drmeasure measures the product's targets in process: each scenario
// starts stand-ins and entry VMs over real sockets, sends load with a fixed
// seed, and returns figures for the product and for a baseline policy.
package drmeasure

import (
	"context"
	"fmt"
	"slices"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drcollection"
)

// Config selects what Run measures and the seed of the generated load.
type Config struct {
	// Scenarios names the scenarios to run; if empty, all are run.
	Scenarios []string
	Seed      uint64
}

// Scenario is one measurement. Summary describes it in a line for the command line.
type Scenario struct {
	Name    string
	Summary string
	run     func(ctx context.Context, seed uint64) ([]Figure, error)
}

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{
		{"start", "first request right after the start of 3 entry VMs", runStart},
		{"burst", "bursts at 16 entry VMs for one idle model each", runBurst},
		{"store", "bursts for many idle models at once, bounded by the weight store", runStore},
		{"idle", "accelerator time of loaded models without requests", runIdle},
		{"neighbour", "a client account beside one that sends ten times its rate", runNeighbour},
		{"skew", "all arrivals at one of 16 entry VMs, within the rate and over it", runSkew},
		{"tokens", "first token and time between tokens on loaded models", runTokens},
		{"path", "cost of the path against calling the engine directly", runPath},
	}
}

// Run runs the selected scenarios one after the other, in the order of Scenarios. If one
// fails, it returns the figures of the earlier ones with the error.
func Run(ctx context.Context, config Config) (Report, error) {
	selected := drcollection.NewSet(config.Scenarios...)
	report := Report{Seed: config.Seed}
	for _, name := range config.Scenarios {
		if !slices.ContainsFunc(Scenarios(), func(s Scenario) bool { return s.Name == name }) {
			return report, fmt.Errorf("unknown scenario %q", name)
		}
	}
	for _, s := range Scenarios() {
		if len(selected) > 0 && !selected.Has(s.Name) {
			continue
		}
		figures, err := s.run(ctx, config.Seed)
		if err != nil {
			return report, fmt.Errorf("scenario %s: %w", s.Name, err)
		}
		for _, f := range figures {
			f.Scenario = s.Name
			report.Figures = append(report.Figures, f)
		}
	}
	return report, nil
}

// clock is the system clock, because the figures are real times.
var clock = drclock.System{}
