package drsettings

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/dotterelridge/dotterelridge/drjson"
)

const (
	// minSecret makes guessing a secret infeasible if it is random.
	minSecret    = 16
	minRetention = time.Minute
	minTimeline  = 16
	maxTimeline  = 1 << 20
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads a settings file over the defaults and returns every problem. The
// settings are usable only if there are none. Secrets in files are read;
// relative paths start at the folder of the settings file.
func Load(path string) (Settings, []drjson.Problem) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []drjson.Problem{{File: path, Reason: "cannot be read: " + reason(err)}}
	}
	return Parse(path, src)
}

// Parse is Load for the content of a file.
func Parse(path string, src []byte) (Settings, []drjson.Problem) {
	root, problems := drjson.Parse(path, src)
	if problems != nil {
		return Settings{}, problems
	}
	l := loader{root: root, folder: filepath.Dir(path)}
	s := Default()
	l.problems = root.Decode(&s)
	if len(l.problems) == 0 {
		// The checks would repeat the faults of members that were not decoded.
		l.addresses(&s)
		l.secrets(&s)
		l.tls(&s.TLS)
		l.bounds(&s)
	}
	slices.SortStableFunc(l.problems, drjson.Problem.Compare)
	return s, l.problems
}

// reason returns err without the path, which the problem states already.
func reason(err error) string {
	if e, ok := errors.AsType[*fs.PathError](err); ok {
		err = e.Err
	}
	return err.Error()
}

// loader checks decoded settings.
type loader struct {
	root     drjson.Node
	folder   string
	problems []drjson.Problem
}

// report adds a problem at the member that path leads to, or at the innermost
// object that has none of the name.
func (l *loader) report(path []string, format string, args ...any) {
	n := l.root
	for _, name := range path {
		n = n.Find(name)
	}
	l.problems = append(l.problems, n.Problem("%s: %s", strings.Join(path, "."), fmt.Sprintf(format, args...)))
}

func (l *loader) addresses(s *Settings) {
	for name, value := range map[string]string{"vm": s.VM, "zone": s.Zone} {
		if value == "" {
			l.report([]string{name}, "is required")
		}
	}
	l.address(s.Addresses.Callers, false, "addresses", "callers")
	l.address(s.Addresses.Peers, true, "addresses", "peers")
	l.address(s.Addresses.Admin, false, "addresses", "admin")
	l.address(s.LogAddress, true, "log-address")
	l.address(s.VMListAddress, true, "vm-list-address")
	for _, seed := range s.Seeds {
		l.address(seed, true, "seeds")
	}
}

// address checks an IP:PORT. Others connect to a reachable one, so its IP must
// not be 0.0.0.0 or [::].
func (l *loader) address(value string, reachable bool, path ...string) {
	if value == "" {
		l.report(path, "is required")
		return
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		l.report(path, "%q is not IP:PORT", value)
	} else if reachable && a.Addr().IsUnspecified() {
		l.report(path, "%q does not name an IP that others can connect to", value)
	}
}

func (l *loader) secrets(s *Settings) {
	l.secret(&s.Secret, "deployment-secret")
	names := map[string]bool{}
	for i := range s.OperatorTokens {
		t := &s.OperatorTokens[i]
		if t.Name == "" || names[t.Name] {
			l.report([]string{"operator-tokens"}, "name %q is empty or given twice", t.Name)
		}
		names[t.Name] = true
		l.secret(&t.Token, "operator-tokens")
	}
}

// secret reads the file of a secret.
func (l *loader) secret(s *Secret, path ...string) {
	if (s.Value == "") == (s.File == "") {
		l.report(path, "either value or file is required")
		return
	}
	if s.File != "" {
		s.File = l.resolve(s.File)
		b, err := os.ReadFile(s.File)
		if err != nil {
			l.report(path, "file %s cannot be read: %s", s.File, reason(err))
			return
		}
		s.Value = strings.TrimSpace(string(b))
	}
	if len(s.Value) < minSecret {
		l.report(path, "has %d bytes, want at least %d", len(s.Value), minSecret)
	}
}

func (l *loader) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.folder, path)
}

func (l *loader) tls(t *TLS) {
	path := []string{"tls"}
	files := t.CertFile != "" || t.KeyFile != "" || t.ClientCAFile != ""
	switch {
	case t.Plain && files:
		l.report(path, "plain excludes the files")
		return
	case t.Plain:
		return
	case t.CertFile == "" || t.KeyFile == "" || t.ClientCAFile == "":
		l.report(path, "cert-file, key-file and client-ca-file are required, or plain: true")
		return
	}
	for name, file := range map[string]*string{"cert-file": &t.CertFile, "key-file": &t.KeyFile, "client-ca-file": &t.ClientCAFile} {
		*file = l.resolve(*file)
		f, err := os.Open(*file)
		if err != nil {
			l.report([]string{"tls", name}, "%s cannot be read: %s", *file, reason(err))
			continue
		}
		f.Close()
	}
}

func (l *loader) bounds(s *Settings) {
	if time.Duration(s.Retention) < minRetention {
		l.report([]string{"retention"}, "%s is less than %s", s.Retention, minRetention)
	}
	if r := s.WeightStoreLoads; !(r >= 0) || math.IsInf(r, 0) {
		l.report([]string{"weight-store-loads"}, "%g is not a number from 0", r)
	}
	if s.Limits.MaxBody < 1 {
		l.report([]string{"limits", "max-body"}, "is 0")
	}
	if s.Limits.QueueBytes < s.Limits.MaxBody {
		l.report([]string{"limits", "queue-bytes"}, "%s is less than max-body %s", s.Limits.QueueBytes, s.Limits.MaxBody)
	}
	if s.Limits.Connections < 1 {
		l.report([]string{"limits", "connections"}, "%d is less than 1", s.Limits.Connections)
	}
	if s.TimelineEvents < minTimeline || s.TimelineEvents > maxTimeline {
		l.report([]string{"timeline-events"}, "%d is not in %d to %d", s.TimelineEvents, minTimeline, maxTimeline)
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		l.report([]string{"log-level"}, "unknown level %q", s.LogLevel)
		l.problems[len(l.problems)-1].Suggestion = drjson.Closest(s.LogLevel, logLevels)
	}
}
