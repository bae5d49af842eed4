package drcommand

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drserve"
)

const (
	demoKey  = "drk_demo_passasjer-app"
	warm     = "snorrute-passenger-nb"
	idle     = "snorrute-passenger-uk"
	operator = "demo-operator-token-kari"
	poison   = "crash-the-engine"
)

// lines is the log of a cluster.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startCluster starts two entry VMs with stand-ins and logs all events.
func startCluster(t *testing.T) (*drdemo.Cluster, *lines) {
	t.Helper()
	is := is.New(t)
	l := &lines{}
	is.NoErr(setLogging(environment{err: l}, "debug"))
	t.Cleanup(func() { log.SetLevel(log.FatalLevel) })
	d := drdemo.Deployments()["fjordsnor"]
	platform, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: d, Poison: poison, TokenInterval: time.Millisecond})
	is.NoErr(err)
	t.Cleanup(platform.Close)
	cluster, err := drdemo.NewCluster(t.Context(), drdemo.ClusterConfig{
		Deployment: d, Platform: platform, EntryVMs: 2, Clock: drclock.System{}, Version: "test",
	})
	is.NoErr(err)
	t.Cleanup(func() { _ = cluster.Close() })
	return cluster, l
}

// send sends a request and returns status and body.
func send(t *testing.T, v *drserve.VM, method, path, body string, header map[string]string) (int, string) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.CallersAddress()+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+demoKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(b)
}

func ask(modelName, prompt string) string {
	return fmt.Sprintf(`{"model": %q, "prompt": %q, "max_tokens": 8, "stream": true}`, modelName, prompt)
}

// readMetrics returns the sums of the series over all VMs, by name and by
// name{first label}.
func readMetrics(t *testing.T, c *drdemo.Cluster) map[string]float64 {
	t.Helper()
	is := is.New(t)
	out := make(map[string]float64)
	for _, v := range c.VMs() {
		resp, err := http.Get("http://" + v.AdminAddress() + "/metrics")
		is.NoErr(err)
		parser := expfmt.NewTextParser(model.LegacyValidation)
		families, err := parser.TextToMetricFamilies(resp.Body)
		resp.Body.Close()
		is.NoErr(err)
		for name, f := range families {
			for _, m := range f.Metric {
				value := m.GetCounter().GetValue() + m.GetGauge().GetValue() + float64(m.GetHistogram().GetSampleCount())
				out[name] += value
				for _, l := range m.Label {
					out[name+"{"+l.GetValue()+"}"] += value
				}
			}
		}
	}
	return out
}

// run executes a subcommand as an operator of v.
func run(v *drserve.VM, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	switch args[0] {
	case "apply", "diff", "get", "status", "timeline":
		args = append([]string{args[0], "-admin", "http://" + v.AdminAddress(), "-token", operator}, args[1:]...)
	}
	code = Run(args, &o, &e)
	return code, o.String(), e.String()
}
