package drcommand

import (
	"context"
	"encoding/json"
	"fmt"
)

// runGet prints the objects of the configuration in force as JSON, optionally only
// those of one kind or with one name.
func runGet(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "get", "[KIND [NAME]]")
	var admin adminOptions
	admin.register(fs)
	if err := parse(fs, args, 0, 2); err != nil {
		return err
	}
	client, err := admin.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, admin.timeout)
	defer cancel()
	objects, err := client.Objects(ctx)
	if err != nil {
		return err
	}
	selected := objects.Objects[:0]
	for _, o := range objects.Objects {
		if (fs.Arg(0) == "" || fs.Arg(0) == o.Kind) && (fs.Arg(1) == "" || fs.Arg(1) == o.Name) {
			selected = append(selected, o)
		}
	}
	if fs.NArg() == 2 && len(selected) == 0 {
		return fmt.Errorf("%s %q does not exist at offset %d", fs.Arg(0), fs.Arg(1), objects.Offset)
	}
	objects.Objects = selected
	enc := json.NewEncoder(env.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(objects)
}
