package drcommand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	demoKey       = "drk_demo_passasjer-app"
	loadedModel   = "snorrute-passenger-nb"
	idleModel     = "snorrute-passenger-uk"
	operatorToken = "demo-operator-token-kari"
	poisonPrompt  = "crash-the-engine"
)

// logBuffer collects the log lines of one cluster. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// currentLog is the buffer that receives all log lines. The log handler and level
// are process-wide and are set only once, in TestMain, because connections of an
// earlier test may still log while the next test starts.
var currentLog atomic.Pointer[logBuffer]

// currentLogWriter writes to the buffer in currentLog at the time of the call.
type currentLogWriter struct{}

func (currentLogWriter) Write(p []byte) (int, error) { return currentLog.Load().Write(p) }

func TestMain(m *testing.M) {
	currentLog.Store(&logBuffer{})
	if err := setLogging(environment{stderr: currentLogWriter{}}, "debug"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// startCluster starts two entry VMs with stand-ins. The returned buffer receives
// the events of all levels until the next call.
func startCluster(t *testing.T) (*drdemo.Cluster, *logBuffer) {
	t.Helper()
	is := is.New(t)
	logs := &logBuffer{}
	currentLog.Store(logs)
	deployment := drdemo.Deployments()["fjordsnor"]
	platform, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: deployment, Poison: poisonPrompt, TokenInterval: time.Millisecond})
	is.NoErr(err)
	t.Cleanup(platform.Close)
	cluster, err := drdemo.NewCluster(t.Context(), drdemo.ClusterConfig{
		Deployment: deployment, Platform: platform, EntryVMs: 2, Clock: drclock.System{}, Version: "test",
	})
	is.NoErr(err)
	t.Cleanup(func() { _ = cluster.Close() })
	return cluster, logs
}

// sendRequest sends a request with demoKey to the callers' listener of vm and
// returns the status and the body.
func sendRequest(t *testing.T, vm *drserve.VM, method, path, body string, headers map[string]string) (int, string) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.CallersAddress()+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+demoKey)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(b)
}

// completionBody returns the JSON body of a streaming completion request for 8
// output tokens.
func completionBody(modelName, prompt string) string {
	return fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": 8, "stream": true}`, modelName, prompt)
}

// readMetrics returns the sum over all VMs of each metric, by name and by
// name{label value}. A histogram counts as its number of samples.
func readMetrics(t *testing.T, cluster *drdemo.Cluster) map[string]float64 {
	t.Helper()
	is := is.New(t)
	sums := make(map[string]float64)
	for _, v := range cluster.VMs() {
		resp, err := http.Get("http://" + v.AdminAddress() + "/metrics")
		is.NoErr(err)
		parser := expfmt.NewTextParser(model.LegacyValidation)
		families, err := parser.TextToMetricFamilies(resp.Body)
		resp.Body.Close()
		is.NoErr(err)
		for name, f := range families {
			for _, m := range f.Metric {
				value := m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
				sums[name] += value
				for _, l := range m.Label {
					sums[name+"{"+l.GetValue()+"}"] += value
				}
			}
		}
	}
	return sums
}

// runCommand runs a subcommand. Commands that call the admin server get the
// address of vm and the operator token.
func runCommand(vm *drserve.VM, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	switch args[0] {
	case "apply", "diff", "get", "status", "timeline":
		args = append([]string{args[0], "-admin", "http://" + vm.AdminAddress(), "-token", operatorToken}, args[1:]...)
	}
	code = Run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}
