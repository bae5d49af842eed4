package drcommand

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Guards against exit codes, messages and results of the operator commands that
// differ from the operators' documentation, which scripts rely on.
func TestOperations(t *testing.T) {
	cluster, logs := startCluster(t)
	vm := cluster.VMs()[0]
	folder := t.TempDir()
	file := filepath.Join(folder, "account.jsonc")
	is.New(t).NoErr(os.WriteFile(file, []byte(`[
  {"client-account": {"name": "prove", "labels": {"role": "company", "size": "small"}, "weight": 1}},
]`), 0o600))

	t.Run("round trip", func(t *testing.T) {
		is := is.New(t)
		code, out, _ := runCommand(vm, "diff", file)
		is.Equal(code, exitOK)
		is.Equal(out, "+ client-account prove\n")
		code, out, errOut := runCommand(vm, "apply", "-wait", "-change-id", "change-1", file)
		is.Equal(errOut, "")
		is.Equal(code, exitOK)
		is.True(strings.Contains(out, "accepted offset="))
		is.True(strings.Contains(out, "in-force offset="))
		code, out, _ = runCommand(vm, "diff", file)
		is.Equal(code, exitOK)
		is.True(strings.HasPrefix(out, "no difference at offset "))
		code, out, _ = runCommand(vm, "get", "client-account", "prove")
		is.Equal(code, exitOK)
		is.True(strings.Contains(out, `"size": "small"`))
		code, _, _ = runCommand(vm, "get", "client-account", "none")
		is.Equal(code, exitFailed)
		// The logged author is the name of the operator token, not the author in
		// the change, which a client can set to any name.
		is.True(strings.Contains(logs.String(), `author=\"demo\"`))
	})

	t.Run("repeated change id", func(t *testing.T) {
		is := is.New(t)
		admin := cluster.Admin(vm)
		change := dradmin.Change{ID: "twice", Author: "mallory", BasedOn: 1, Deletes: []dradmin.ObjectName{{Kind: string(drconfig.KindAccount), Name: "prove"}}}
		first, err := admin.Submit(t.Context(), change)
		is.NoErr(err)
		second, err := admin.Submit(t.Context(), change)
		is.NoErr(err)
		is.Equal(first, second)
		is.True(!first.Accepted) // the account changed after offset 1
		is.True(len(first.Problems) > 0)
		is.True(!strings.Contains(logs.String(), "mallory"))
	})

	t.Run("rejected", func(t *testing.T) {
		is := is.New(t)
		bad := filepath.Join(folder, "bad.jsonc")
		is.NoErr(os.WriteFile(bad, []byte("[\n  {\"client-account\": {\"name\": \"prove\", \"wieght\": 1}},\n]"), 0o600))
		code, _, errOut := runCommand(vm, "check", bad)
		is.Equal(code, exitRejected)
		is.True(strings.Contains(errOut, `bad.jsonc:2:40: unknown field "wieght"; did you mean "weight"?`))
		code, _, errOut = runCommand(vm, "apply", bad)
		is.Equal(code, exitRejected)
		is.True(strings.Contains(errOut, "did you mean"))
		code, _, _ = runCommand(vm, "check", file)
		is.Equal(code, exitOK)
	})

	t.Run("wrong usage", func(t *testing.T) {
		is := is.New(t)
		for _, args := range [][]string{{}, {"none"}, {"apply"}, {"check"}, {"serve"}, {"status", "-none"}, {"status", "extra"}} {
			code := exitUsage
			if len(args) > 0 {
				code, _, _ = runCommand(vm, args...)
			}
			is.Equal(code, exitUsage)
		}
	})

	t.Run("wrong token", func(t *testing.T) {
		is := is.New(t)
		_, err := dradmin.NewClient("http://"+vm.AdminAddress(), "wrong").Status(t.Context())
		is.True(err != nil && strings.Contains(err.Error(), "401"))
		code, _, _ := runCommand(vm, "status", "-token", "wrong")
		is.Equal(code, exitFailed)
	})

	t.Run("status", func(t *testing.T) {
		is := is.New(t)
		code, out, _ := runCommand(vm, "status")
		for start := time.Now(); (!strings.Contains(out, "GiB") || !strings.Contains(out, "ferje-entry-2")) && time.Since(start) < 5*time.Second; {
			// The status shows the runners and the other VM only shortly after the
			// start.
			code, out, _ = runCommand(vm, "status")
		}
		is.Equal(code, exitOK)
		for _, row := range []string{"VM", "MEMBER", "RUNNER", "MODEL", "ACCOUNT", "QUEUE", "ferje-entry-2", "passasjer-app", "GiB"} {
			is.True(strings.Contains(out, row))
		}
	})

	t.Run("not in force in time", func(t *testing.T) {
		is := is.New(t)
		code, _, errOut := runCommand(vm, "apply", "-wait", "-wait-for", "1ns", file)
		is.Equal(code, exitNotInForce)
		is.True(strings.Contains(errOut, "not in force"))
	})

	t.Run("readiness while draining", func(t *testing.T) {
		is := is.New(t)
		is.Equal(getReadyz(t, vm.AdminAddress()), "200 ready\n")
		done := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		cluster.VMs()[1].Settings.DrainNotice = drconfig.Duration(time.Second)
		go func() { done <- cluster.VMs()[1].Drain(ctx) }()
		address, answer := cluster.VMs()[1].AdminAddress(), ""
		for start := time.Now(); answer != "503 draining\n" && time.Since(start) < time.Second; {
			answer = getReadyz(t, address)
		}
		is.Equal(answer, "503 draining\n")
		is.NoErr(<-done)
	})
}

// getReadyz returns the status code and body of GET /readyz, such as
// "200 ready\n".
func getReadyz(t *testing.T, address string) string {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get("http://" + address + "/readyz")
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.Status[:3] + " " + string(b)
}
