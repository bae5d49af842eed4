package drcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/dotterelridge/dotterelridge/drdemo"
)

// runStandin runs the stand-ins of a deployment's platform until a signal arrives, and
// prints their addresses first, one key=value line each.
func runStandin(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "standin", "")
	name := fs.String("deployment", "fjordsnor", "fjordsnor or retoque")
	logAddress := fs.String("log", "127.0.0.1:0", "address of the log")
	listAddress := fs.String("vm-list", "127.0.0.1:0", "address of the VM list")
	poison := fs.String("poison", "", "text in a prompt that crashes the engine that runs it")
	memory := fs.Int64("engine-memory", 0, "memory of each engine in GiB; 0 for the stand-in's default")
	listLag := fs.Duration("list-lag", 0, "how late the VM list shows changes")
	retention := fs.Duration("retention", 0, "how long the log keeps records; 0 means for ever")
	tokenInterval := fs.Duration("token-interval", 0, "time between tokens; 0 for the stand-in's default")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	deployment, ok := drdemo.Deployments()[*name]
	if !ok {
		return fmt.Errorf("%w: unknown deployment %q", errUsage, *name)
	}
	p, err := drdemo.NewPlatform(drdemo.PlatformConfig{
		Deployment: deployment, LogAddress: *logAddress, ListAddress: *listAddress, Poison: *poison,
		ListLag: *listLag, Retention: *retention, TokenInterval: *tokenInterval,
		EngineMemory: *memory << 30,
	})
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Fprintf(env.stdout, "event=standins-ready log=%s vm-list=%s weight-store=%s time=%s\n",
		p.Log.Address(), p.List.Address(), p.Store.Address(), time.Now().UTC().Format(time.RFC3339Nano))
	for _, e := range p.Engines {
		fmt.Fprintf(env.stdout, "event=standin kind=engine address=%s\n", e.Address())
	}
	for _, s := range p.Services {
		fmt.Fprintf(env.stdout, "event=standin kind=service address=%s\n", s.Address())
	}
	<-ctx.Done()
	return nil
}
