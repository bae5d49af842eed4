package drcommand

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drserve"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// runServe runs an entry VM until a signal arrives. It then drains the VM, for at most
// -drain-timeout.
func runServe(ctx context.Context, env environment, args []string) error {
	fs := newFlags(env, "serve", "")
	path := fs.String("settings", "", "settings file (required)")
	drainTimeout := fs.Duration("drain-timeout", 10*time.Minute, "cut the requests that still run so long after SIGTERM")
	if err := parse(fs, args, 0, 0); err != nil {
		return err
	}
	if *path == "" {
		fs.Usage()
		return fmt.Errorf("%w: -settings is required", errUsage)
	}
	s, problems := drsettings.Load(*path)
	if len(problems) > 0 {
		writeProblems(env, problems)
		return fmt.Errorf("%w: %d problems in the settings", errRejected, len(problems))
	}
	if err := setLogging(env, s.LogLevel); err != nil {
		return err
	}
	v, err := drserve.New(drserve.Config{
		Settings: s, Clock: drclock.System{}, Version: Version, Incarnation: uint64(time.Now().UnixNano()),
	})
	if err != nil {
		return err
	}
	if err := v.Start(); err != nil {
		return err
	}
	log.WithFields(log.Fields{
		"event": "serving", "vm": s.VM, "callers": v.CallersAddress(), "admin": v.AdminAddress(), "version": Version,
	}).Info("")
	<-ctx.Done()
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), *drainTimeout)
	defer cancel()
	return v.Drain(drainCtx)
}
