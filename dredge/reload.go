package dredge

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/apex/log"
)

// reloadInterval is how often the settings file is read again, so that changes
// are noticed without SIGHUP.
const reloadInterval = time.Second

// WatchSettings applies changes of the settings file until ctx ends: at once when
// hangUps receives a SIGHUP, otherwise within reloadInterval. Retry budget, quota slack,
// revocation, zone-drain and log level take effect at once; other settings need a restart.
// A file with problems is logged and changes nothing.
func (e *Edge) WatchSettings(ctx context.Context, path string, hangUps <-chan os.Signal) {
	lastContent, err := os.ReadFile(path)
	readable := e.logReadability(path, true, err)
	for {
		timer := e.Clock.NewTimer(reloadInterval)
		signalled := false
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-hangUps:
			signalled = true
		case <-timer.C():
		}
		timer.Stop()
		content, err := os.ReadFile(path)
		readable = e.logReadability(path, readable, err)
		if err != nil || bytes.Equal(content, lastContent) && !signalled {
			continue // unreadable, as while it is replaced, or unchanged
		}
		lastContent = content
		e.reload(path, content, signalled)
	}
}

// logReadability logs when the settings file becomes unreadable or readable
// again. err is the error of reading it.
func (e *Edge) logReadability(path string, wasReadable bool, err error) (readable bool) {
	fields := log.Fields{"event": "settings-readable", "path": path}
	switch {
	case err != nil && wasReadable:
		fields["event"] = "settings-unreadable"
		log.WithFields(fields).WithError(err).Warn("")
	case err == nil && !wasReadable:
		log.WithFields(fields).Info("")
	}
	return err == nil
}

func (e *Edge) reload(path string, content []byte, signalled bool) {
	settings, problems := Parse(path, content)
	if len(problems) > 0 {
		log.WithFields(log.Fields{"event": "settings-rejected", "path": path, "problem": problems[0].String(),
			"problems": len(problems)}).Error("")
		return
	}
	if level, err := log.ParseLevel(settings.LogLevel); err == nil {
		log.SetLevel(level)
	}
	e.applySettings(settings)
	log.WithFields(log.Fields{"event": "settings-reloaded", "path": path, "signalled": signalled}).Info("")
}
