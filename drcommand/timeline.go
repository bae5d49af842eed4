package drcommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// runTimeline prints the events that the entry VMs hold, in order. The names of VMs
// that did not answer go to standard error.
func runTimeline(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "timeline", "")
	var admin adminOptions
	admin.register(fs)
	var filter drtimeline.Filter
	registerFilter(fs, &filter, time.Now)
	format := fs.String("format", "text", "text, json or html")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	client, err := admin.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, admin.timeout)
	defer cancel()
	doc, err := client.Timeline(ctx, filter)
	if err != nil {
		return err
	}
	if len(doc.Missing) > 0 {
		fmt.Fprintf(env.stderr, "no events from %s\n", strings.Join(doc.Missing, ", "))
	}
	switch *format {
	case "text":
		return drtimeline.WriteText(env.stdout, doc.Events)
	case "json":
		return drtimeline.WriteJSON(env.stdout, doc.Events)
	case "html":
		return drtimeline.WriteHTML(env.stdout, doc.Events)
	default:
		return fmt.Errorf("%w: unknown format %q", errUsage, *format)
	}
}
