package drcommand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drjson"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// runCheck validates declarations, and optionally a settings file, without using
// the network.
func runCheck(_ context.Context, env environment, args []string) error {
	fs := newFlags(env, "check", "FILE|FOLDER...")
	settings := fs.String("settings", "", "settings file to check as well")
	if err := parse(fs, args, 0, maxPaths); err != nil {
		return err
	}
	if *settings == "" && fs.NArg() == 0 {
		fs.Usage()
		return fmt.Errorf("%w: nothing to check", errUsage)
	}
	var problems []drjson.Problem
	if *settings != "" {
		_, ps := drsettings.Load(*settings)
		problems = append(problems, ps...)
	}
	objects, ps := drconfig.Load(fs.Args()...)
	problems = append(problems, ps...)
	if len(problems) > 0 {
		writeProblems(env, problems)
		return fmt.Errorf("%w: %d problems", errRejected, len(problems))
	}
	fmt.Fprintf(env.stdout, "ok: %d objects\n", len(objects))
	return nil
}

// writeProblems prints one problem per line to standard error, with paths relative
// to the working directory.
func writeProblems(env environment, problems []drjson.Problem) {
	workingDir, err := os.Getwd()
	for _, p := range problems {
		text := p.String()
		if err == nil {
			text = strings.TrimPrefix(text, workingDir+string(filepath.Separator))
		}
		fmt.Fprintln(env.stderr, text)
	}
}
