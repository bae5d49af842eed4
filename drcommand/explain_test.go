package drcommand

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/dredge"
)

// Guards against a command that sends a header which the VM cannot read, or hides its
// answer or its refusal.
func TestExplainAsksTheVM(t *testing.T) {
	is := is.New(t)
	var asked strings.Builder
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != dredge.ExplainPath {
			http.NotFound(w, r)
			return
		}
		_ = r.Write(&asked)
		_, _ = w.Write([]byte(`{"route":"ask","candidates":[{"runner":"r1","probability":1}],"excluded":[{"runner":"r2","why":"drains"}]}`))
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "request")
	is.NoErr(os.WriteFile(file, []byte("GET /a HTTP/1.1\nHost: h\n"), 0o600))
	var out, errOut strings.Builder
	code := Run([]string{"explain", "-address", server.Listener.Addr().String(), file}, &out, &errOut)
	is.Equal(errOut.String(), "")
	is.Equal(code, exitOK)
	is.True(strings.Contains(asked.String(), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.True(strings.Contains(out.String(), "r1") && strings.Contains(out.String(), "drains"))
	is.True(Run([]string{"explain", "-address", server.Listener.Addr().String(), file + "x"}, &out, &errOut) != exitOK)
}
