package drsettings

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drjson"
)

var update = flag.Bool("update", false, "write the reference page")

const validSettings = `{
	"vm": "entry-1", "zone": "hall-en", // comment
	"addresses": {"callers": "0.0.0.0:8080", "peers": "127.0.0.1:8081", "admin": "[::1]:0"},
	"log-address": "127.0.0.1:9000", "vm-list-address": "127.0.0.1:9001", "seeds": ["127.0.0.2:8081"],
	"deployment-secret": {"file": "secret"},
	"operator-tokens": [{"name": "kari", "token": {"value": "0123456789abcdef"}}],
	"tls": {"plain": true},
	"limits": {"max-body": "1MiB"},
}`

// loadText loads settings with the content src from a folder that also has a file
// secret. It returns the problems as text, without the path of the folder.
func loadText(t *testing.T, src string) (Settings, []string) {
	t.Helper()
	folder := t.TempDir()
	is.New(t).NoErr(os.WriteFile(filepath.Join(folder, "secret"), []byte("a secret of enough bytes\n"), 0o600))
	path := filepath.Join(folder, "f")
	is.New(t).NoErr(os.WriteFile(path, []byte(src), 0o600))
	s, problems := Load(path)
	var texts []string
	for _, p := range problems {
		texts = append(texts, strings.ReplaceAll(p.String(), folder+"/", ""))
	}
	return s, texts
}

// Guards against values of the file that are lost or overridden by defaults, and
// against secrets that appear in printed settings.
func TestLoad(t *testing.T) {
	is := is.New(t)
	s, problems := loadText(t, validSettings)
	is.Equal(problems, nil)
	is.Equal(string(s.Secret.Bytes()), "a secret of enough bytes")
	is.Equal(s.Limits, Limits{MaxBody: 1 << 20, QueueBytes: 64 << 20, Connections: 10_000})
	is.Equal(s.ServeWithoutLog, drjson.Duration(time.Hour))
	is.Equal(s.Seeds, []string{"127.0.0.2:8081"})
	for _, format := range []string{"%v", "%+v", "%#v"} {
		is.True(!strings.Contains(fmt.Sprintf(format, s), "secret of")) // printed settings hide secrets
	}
}

// Guards against invalid settings that are accepted, and against problems that do not
// state the position in the file.
func TestProblems(t *testing.T) {
	tests := []struct{ from, to, want string }{
		{`"zone"`, `"zoen"`, `f:2:19: unknown field "zoen"; did you mean "zone"?`},
		{`"zone": "hall-en",`, ``, `f:1:1: zone: is required`},
		{`"127.0.0.1:8081"`, `"0.0.0.0:8081"`, `f:3:52: addresses.peers: "0.0.0.0:8081" does not name an IP that others can connect to`},
		{`"127.0.0.1:9000"`, `"log:9000"`, `f:4:17: log-address: "log:9000" is not IP:PORT`},
		{`"file": "secret"`, ``, `f:5:23: deployment-secret: either value or file is required`},
		{`"file": "secret"`, `"file": "none"`, `f:5:23: deployment-secret: file none cannot be read: no such file or directory`},
		{`"0123456789abcdef"`, `"short"`, `f:6:21: operator-tokens: has 5 bytes, want at least 16`},
		{`"kari"`, `""`, `f:6:21: operator-tokens: name "" is empty or given twice`},
		{`"plain": true`, ``, `f:7:9: tls: cert-file, key-file and client-ca-file are required, or plain: true`},
		{`"plain": true`, `"plain": true, "key-file": "x"`, `f:7:9: tls: plain excludes the files`},
		{`"plain": true`, `"cert-file": "secret", "key-file": "x", "client-ca-file": "secret"`, `f:7:45: tls.key-file: x cannot be read: no such file or directory`},
		{`"1MiB"`, `"65MiB"`, `f:8:12: limits.queue-bytes: 64MiB is less than max-body 65MiB`},
		{`"1MiB"`, `0`, `f:8:25: limits.max-body: is 0`},
		{`"1MiB"`, `"1MiB", "connections": 0`, `f:8:48: limits.connections: 0 is less than 1`},
		{`"limits"`, `"retention": "5s", "limits"`, `f:8:15: retention: 5s is less than 1m0s`},
		{`"limits"`, `"weight-store-loads": -0.5, "limits"`, `f:8:24: weight-store-loads: -0.5 is not a number from 0`},
		{`"limits"`, `"weight-store-loads": NaN, "limits"`, `f:8:24: invalid literal: NaN`},
		{`"limits"`, `"timeline-events": -1, "limits"`, `f:8:21: timeline-events: -1 is not in 16 to 1048576`},
		{`"limits"`, `"log-level": "inf", "limits"`, `f:8:15: log-level: unknown level "inf"; did you mean "info"?`},
		{`"limits"`, `"drain-notice": 5, "limits"`, `f:8:18: want a duration with a unit such as "5s", got 5`},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			is := is.New(t)
			_, problems := loadText(t, strings.Replace(validSettings, test.from, test.to, 1))
			is.Equal(problems, []string{test.want})
		})
	}
	_, problems := Load("none")
	is.New(t).Equal(problems[0].String(), "none: cannot be read: no such file or directory")
}

// Guards against a docs/settings.md that was not generated again after a change of the
// settings or their defaults.
func TestReference(t *testing.T) {
	is := is.New(t)
	const page = "../docs/settings.md"
	if *update {
		is.NoErr(os.WriteFile(page, []byte(Reference()), 0o644))
	}
	got, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(got), Reference()) // run go generate ./drsettings
}
