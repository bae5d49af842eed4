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
	// minSecretBytes is a length at which guessing a random secret is infeasible.
	minSecretBytes    = 16
	minRetention      = time.Minute
	minTimelineEvents = 16
	maxTimelineEvents = 1 << 20
)

var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads a settings file and applies it to the defaults. It returns all problems
// that it finds; the settings are usable only if there are none. Load also reads the
// files of secrets. Relative paths in the settings start at the folder of the settings
// file.
func Load(path string) (Settings, []drjson.Problem) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []drjson.Problem{{File: path, Reason: "cannot be read: " + reasonWithoutPath(err)}}
	}
	return Parse(path, src)
}

// Parse does the same as Load for a settings file whose content src has been read. The
// path is used in problems and to resolve relative paths.
func Parse(path string, src []byte) (Settings, []drjson.Problem) {
	root, problems := drjson.Parse(path, src)
	if problems != nil {
		return Settings{}, problems
	}
	l := loader{root: root, baseDir: filepath.Dir(path)}
	settings := Default()
	l.problems = root.Decode(&settings)
	if len(l.problems) == 0 {
		// After a decoding problem, the checks would report the affected members again.
		l.checkAddresses(&settings)
		l.loadSecrets(&settings)
		l.checkTLS(&settings.TLS)
		l.checkBounds(&settings)
	}
	slices.SortStableFunc(l.problems, drjson.Problem.Compare)
	return settings, l.problems
}

// reasonWithoutPath returns the text of err without the file path, which the problem
// states already.
func reasonWithoutPath(err error) string {
	if pathErr, ok := errors.AsType[*fs.PathError](err); ok {
		err = pathErr.Err
	}
	return err.Error()
}

// loader validates decoded settings, reads the files of secrets and collects the
// problems. Relative paths start at baseDir.
type loader struct {
	root     drjson.Node
	baseDir  string
	problems []drjson.Problem
}

// report adds a problem with the member at the given path. The problem's position is
// that of the member or, if it is missing, of the innermost object on the path.
func (l *loader) report(path []string, format string, args ...any) {
	node := l.root
	for _, name := range path {
		node = node.Find(name)
	}
	l.problems = append(l.problems, node.Problem("%s: %s", strings.Join(path, "."), fmt.Sprintf(format, args...)))
}

func (l *loader) checkAddresses(settings *Settings) {
	for name, value := range map[string]string{"vm": settings.VM, "zone": settings.Zone} {
		if value == "" {
			l.report([]string{name}, "is required")
		}
	}
	l.checkAddress(settings.Addresses.Callers, false, "addresses", "callers")
	l.checkAddress(settings.Addresses.Peers, true, "addresses", "peers")
	l.checkAddress(settings.Addresses.Admin, false, "addresses", "admin")
	l.checkAddress(settings.LogAddress, true, "log-address")
	l.checkAddress(settings.VMListAddress, true, "vm-list-address")
	for _, seed := range settings.Seeds {
		l.checkAddress(seed, true, "seeds")
	}
}

// checkAddress reports an address that is not IP:PORT. If others connect to the
// address, reachable is true, and the IP must not be 0.0.0.0 or [::].
func (l *loader) checkAddress(value string, reachable bool, path ...string) {
	if value == "" {
		l.report(path, "is required")
		return
	}
	addrPort, err := netip.ParseAddrPort(value)
	if err != nil {
		l.report(path, "%q is not IP:PORT", value)
	} else if reachable && addrPort.Addr().IsUnspecified() {
		l.report(path, "%q does not name an IP that others can connect to", value)
	}
}

func (l *loader) loadSecrets(settings *Settings) {
	l.loadSecret(&settings.Secret, "deployment-secret")
	seen := map[string]bool{}
	for i := range settings.OperatorTokens {
		operatorToken := &settings.OperatorTokens[i]
		if operatorToken.Name == "" || seen[operatorToken.Name] {
			l.report([]string{"operator-tokens"}, "name %q is empty or given twice", operatorToken.Name)
		}
		seen[operatorToken.Name] = true
		l.loadSecret(&operatorToken.Token, "operator-tokens")
	}
}

// loadSecret reads a secret from its file, if it has one, and reports a secret that is
// missing or too short.
func (l *loader) loadSecret(secret *Secret, path ...string) {
	if (secret.Value == "") == (secret.File == "") {
		l.report(path, "either value or file is required")
		return
	}
	if secret.File != "" {
		secret.File = l.resolvePath(secret.File)
		content, err := os.ReadFile(secret.File)
		if err != nil {
			l.report(path, "file %s cannot be read: %s", secret.File, reasonWithoutPath(err))
			return
		}
		secret.Value = strings.TrimSpace(string(content))
	}
	if len(secret.Value) < minSecretBytes {
		l.report(path, "has %d bytes, want at least %d", len(secret.Value), minSecretBytes)
	}
}

func (l *loader) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(l.baseDir, path)
}

func (l *loader) checkTLS(settings *TLS) {
	path := []string{"tls"}
	anyFile := settings.CertFile != "" || settings.KeyFile != "" || settings.ClientCAFile != ""
	switch {
	case settings.Plain && anyFile:
		l.report(path, "plain excludes the files")
		return
	case settings.Plain:
		return
	case settings.CertFile == "" || settings.KeyFile == "" || settings.ClientCAFile == "":
		l.report(path, "cert-file, key-file and client-ca-file are required, or plain: true")
		return
	}
	for name, file := range map[string]*string{"cert-file": &settings.CertFile, "key-file": &settings.KeyFile, "client-ca-file": &settings.ClientCAFile} {
		*file = l.resolvePath(*file)
		f, err := os.Open(*file)
		if err != nil {
			l.report([]string{"tls", name}, "%s cannot be read: %s", *file, reasonWithoutPath(err))
			continue
		}
		f.Close()
	}
}

func (l *loader) checkBounds(settings *Settings) {
	if time.Duration(settings.Retention) < minRetention {
		l.report([]string{"retention"}, "%s is less than %s", settings.Retention, minRetention)
	}
	if rate := settings.WeightStoreLoads; !(rate >= 0) || math.IsInf(rate, 0) {
		l.report([]string{"weight-store-loads"}, "%g is not a number from 0", rate)
	}
	if settings.Limits.MaxBody < 1 {
		l.report([]string{"limits", "max-body"}, "is 0")
	}
	if settings.Limits.QueueBytes < settings.Limits.MaxBody {
		l.report([]string{"limits", "queue-bytes"}, "%s is less than max-body %s", settings.Limits.QueueBytes, settings.Limits.MaxBody)
	}
	if settings.Limits.Connections < 1 {
		l.report([]string{"limits", "connections"}, "%d is less than 1", settings.Limits.Connections)
	}
	if settings.TimelineEvents < minTimelineEvents || settings.TimelineEvents > maxTimelineEvents {
		l.report([]string{"timeline-events"}, "%d is not in %d to %d", settings.TimelineEvents, minTimelineEvents, maxTimelineEvents)
	}
	if !slices.Contains(logLevels, settings.LogLevel) {
		l.report([]string{"log-level"}, "unknown level %q", settings.LogLevel)
		l.problems[len(l.problems)-1].Suggestion = drjson.Closest(settings.LogLevel, logLevels)
	}
}
