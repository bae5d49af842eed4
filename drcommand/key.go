package drcommand

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// runKey generates a key of a client account. The key itself is printed to standard
// error and its declaration, which holds only a hash, to standard output, so that
// standard output can be stored with the other declarations.
func runKey(_ context.Context, env environment, args []string) error {
	fs := newFlags(env, "key", "")
	path := fs.String("settings", "", "settings file with the deployment secret (required)")
	id := fs.String("id", "", "id of the key, unique in the deployment (required)")
	account := fs.String("account", "", "client account that the key belongs to (required)")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	if *path == "" || *id == "" || *account == "" {
		fs.Usage()
		return fmt.Errorf("%w: -settings, -id and -account are required", errUsage)
	}
	s, problems := drsettings.Load(*path)
	if len(problems) > 0 {
		writeProblems(env, problems)
		return fmt.Errorf("%w: %d problems in the settings", errRejected, len(problems))
	}
	key := drconfig.NewKey()
	declaration, err := json.Marshal([]map[string]map[string]string{{
		"key": {"id": *id, "account": *account, "hash": drconfig.HashKey(s.Secret.Bytes(), key)},
	}})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.stderr, "key of client account %s, shown only now: %s\n", *account, key)
	fmt.Fprintln(env.stdout, string(declaration))
	return nil
}
