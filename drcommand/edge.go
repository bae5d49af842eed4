package drcommand

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/dredge"
	"github.com/dotterelridge/dotterelridge/drloghandler"
	"github.com/dotterelridge/dotterelridge/platform"
)

// logFlushTimeout limits how long the process waits at its end until queued log lines
// are written.
const logFlushTimeout = 200 * time.Millisecond

// runEdge runs an entry VM on the users' platform, whose log, engines and wire format
// package platform implements, until a signal arrives. It then drains the VM.
func runEdge(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "edge", "")
	path := fs.String("settings", "", "settings file (required)")
	check := fs.Bool("check", false, "check the settings and exit")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	if *path == "" {
		fs.Usage()
		return fmt.Errorf("%w: -settings is required", errUsage)
	}
	s, problems := dredge.Load(*path)
	if len(problems) > 0 {
		writeProblems(env, problems)
		return fmt.Errorf("%w: %d problems in the settings", errRejected, len(problems))
	}
	if *check {
		fmt.Fprintln(env.stdout, "settings are valid")
		return nil
	}
	hangUps := catchSignals()
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return fmt.Errorf("%w: log level: %w", errRejected, err)
	}
	clock := drclock.System{}
	logHandler := drloghandler.New(drloghandler.Config{Out: env.stdout, Clock: clock})
	defer logHandler.Close(logFlushTimeout)
	log.SetLevel(level)
	log.SetHandler(logHandler)
	log.WithFields(log.Fields{"event": "starting", "vm": s.VM, "settings": *path}).Info("")
	e, err := dredge.New(dredge.Config{
		Settings: s, Clock: clock, Incarnation: uint64(time.Now().UnixNano()), Dropped: logHandler.Dropped,
		Platform: dredge.Platform{
			Log: platform.NewStore(s.StoreAddress, clock), Codec: platform.Codec{}, Engines: platform.NewEngines(clock),
			Wire: platform.Wire{},
		},
	})
	if err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	go e.WatchSettings(ctx, *path, hangUps)
	<-ctx.Done()
	return e.Drain()
}

// catchSignals returns a channel that receives SIGHUP, and makes the process
// survive signals that would end it in the middle of requests: a SIGHUP at any
// time, also while it drains, and the SIGPIPE after the reader of its log has gone.
func catchSignals() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}
