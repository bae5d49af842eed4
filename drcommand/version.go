package drcommand

import (
	"context"
	"fmt"
)

// Version is the version that the program prints and reports in its status. Release
// builds set it with -ldflags.
var Version = "0.1.0-dev"

func runVersion(_ context.Context, env environment, args []string) error {
	if err := parse(newFlags(env, "version", ""), args, 0, 0); err != nil {
		return err
	}
	fmt.Fprintln(env.stdout, "dotterelridge", Version)
	return nil
}
