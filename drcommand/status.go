package drcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/dotterelridge/dotterelridge/dradmin"
)

// runStatus prints the status of the entry VM that it calls, as tables or JSON.
func runStatus(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "status", "")
	var admin adminOptions
	admin.register(fs)
	asJSON := fs.Bool("json", false, "print JSON")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	client, err := admin.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, admin.timeout)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if *asJSON {
		return json.NewEncoder(env.stdout).Encode(status)
	}
	return writeStatus(env, status)
}

// writeStatus writes one table per part of the status, with an empty line between
// tables.
func writeStatus(env environment, status dradmin.Status) error {
	w := tabwriter.NewWriter(env.stdout, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, c)
		}
		fmt.Fprintln(w)
	}
	row("VM", "ZONE", "READY", "FRESHNESS", "CONFIG", "PLACEMENT", "VERSION")
	row(status.VM, status.Zone, formatReadiness(status), status.Freshness, status.ConfigOffset, status.PlacementOffset, status.Version)
	row()
	row("MEMBER", "ZONE", "STATE")
	for _, m := range status.Members {
		row(m.VM, m.Zone, m.State)
	}
	row()
	row("RUNNER", "OWNER", "FENCE", "MEMORY", "LOADED")
	for _, r := range status.Runners {
		row(r.Runner, r.Owner, r.Fence, formatMemory(r), strings.Join(r.Loaded, ","))
	}
	row()
	row("MODEL", "DECIDED", "RIGHTS")
	for _, m := range status.Models {
		row(m.Model, m.Decided, strings.Join(m.Rights, ","))
	}
	row()
	row("ACCOUNT", "RATE/S", "BURST", "SHARES-HELD")
	for _, l := range status.Limits {
		row(l.Account, l.Rate, l.Burst, l.Shares)
	}
	row()
	row("QUEUE", "WAITING", "RUNNING")
	for _, q := range status.Queues {
		row(q.Model, q.Waiting, q.Running)
	}
	return w.Flush()
}

func formatReadiness(status dradmin.Status) string {
	if status.Ready {
		return "yes"
	}
	return "no: " + status.Reason
}

// formatMemory returns the used and total memory in GiB. Only the owner of a runner
// knows its memory; other VMs report 0, which is shown as "-".
func formatMemory(runner dradmin.RunnerStatus) string {
	if runner.MemoryBytes == 0 {
		return "-"
	}
	const gib = 1 << 30
	return fmt.Sprintf("%.1f/%.1f GiB", float64(runner.UsedBytes)/gib, float64(runner.MemoryBytes)/gib)
}
