package drcommand

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Guards against a declaration with which the printed key does not authenticate, and
// against a key on standard output, where it would be stored with the declarations.
func TestKey(t *testing.T) {
	is := is.New(t)
	var out, errOut bytes.Buffer
	is.Equal(Run([]string{"key", "-settings", "../examples/fjordsnor/entry.jsonc", "-id", "k2", "-account", "nordkabel"}, &out, &errOut), exitOK)
	_, key, ok := strings.Cut(strings.TrimSpace(errOut.String()), ": ")
	is.True(ok && strings.HasPrefix(key, drconfig.KeyPrefix))
	is.True(!strings.Contains(out.String(), key))
	file := filepath.Join(t.TempDir(), "key.jsonc")
	is.NoErr(os.WriteFile(file, out.Bytes(), 0o600))
	objects, problems := drconfig.Load(file, "../examples/fjordsnor/declarations")
	is.Equal(len(problems), 0)
	k, ok := drconfig.Config{}.With(objects...).Authenticate(key, []byte("demo-only-fjordsnor-deployment-secret"))
	is.True(ok)
	is.Equal(k.Account, "nordkabel")
	is.Equal(Run([]string{"key", "-id", "k2"}, &out, &errOut), exitUsage)
}
