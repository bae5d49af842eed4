package drcommand

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drmetric"
)

// Guards against metrics that stay at zero although the events they count happened,
// log lines that contain a key or a part of a request body, log lines of a request
// without its id, and a timeline that misses steps of a cold start that involves
// two VMs.
func TestObservability(t *testing.T) {
	is := is.New(t)
	cluster, logs := startCluster(t)
	vms := cluster.VMs()
	const marker = "marker-body-71c5"
	post := func(path, body string, headers map[string]string) int {
		status, _ := sendRequest(t, vms[0], "POST", path, body, headers)
		return status
	}
	// Requests are refused at first: the token buckets of a new deployment are empty,
	// and the model is still being loaded.
	for start := time.Now(); post("/v1/completions", completionBody(loadedModel, marker), nil) != 200; {
		is.True(time.Since(start) < 10*time.Second)
	}
	before := readMetrics(t, cluster)[drmetric.Requests]
	is.Equal(post("/v1/completions", completionBody(loadedModel, marker), nil), 200)
	for _, v := range vms {
		// Only one of the two VMs owns the model, so the other one has to ask it to
		// load the model.
		status, _ := sendRequest(t, v, "POST", "/v1/completions", completionBody(idleModel, marker), map[string]string{"X-Request-Id": "cold-" + v.Settings.VM})
		is.Equal(status, 200)
	}
	is.Equal(post("/bookings?api_key="+demoKey, marker, map[string]string{"Idempotency-Key": "k1", "X-Request-Id": "booking"}), 200)
	is.Equal(post("/bookings", marker, map[string]string{"Idempotency-Key": "k1", "X-Api-Key": demoKey}), 200)
	is.Equal(post("/bookings/"+demoKey, marker, nil), 400)
	is.Equal(post("/v1/completions", completionBody(loadedModel, demoKey), nil), 400)
	is.Equal(post("/v1/completions", completionBody(demoKey, marker), nil), 404)
	is.Equal(post("/v1/completions", completionBody(loadedModel, marker), map[string]string{"Authorization": "Bearer drk_wrong_" + marker}), 401)
	is.Equal(post("/v1/completions", completionBody(loadedModel, marker), map[string]string{"X-Request-Id": demoKey}), 200)
	is.Equal(post("/v1/completions", `{"model": "`+loadedModel+`", "prompt": "`+strings.Repeat("long ", 20000)+`"}`, nil), 429)
	is.Equal(post("/v1/completions", completionBody(loadedModel, poisonPrompt+marker), nil), 422)
	time.Sleep(1500 * time.Millisecond) // the idle time of accelerators is sampled every second

	m := readMetrics(t, cluster)
	for _, name := range []string{
		drmetric.Requests + "{200}", drmetric.Requests + "{401}", drmetric.Refusals + "{over-rate}", drmetric.Refusals + "{crashes-backend}",
		drmetric.TimeToFirstToken, drmetric.InterTokenLatency, drmetric.ColdStartWait, drmetric.QueueWait, drmetric.ServedTokens + "{passasjer-app}",
		drmetric.Loads + "{loaded}", drmetric.LoadTime, drmetric.IdleAccelerator, drmetric.BorrowedTokens, drmetric.ReturnedTokens,
		drmetric.Retries + "{allowed}", drmetric.Strikes, drmetric.LogAppends + "{config}", drmetric.LogReads + "{placement}",
		drmetric.FollowerLag, drmetric.FollowerOffset, drmetric.ConfigOffset, drmetric.ConfigChanges + "{accepted}",
		drmetric.OnceCalls + "{granted}", drmetric.OnceCalls + "{replayed}", drmetric.Peers + "{alive}",
		drmetric.PeerBytes + "{sent}", drmetric.PeerBytes + "{received}", drmetric.CallerConnections,
		drmetric.ProcessCPU, drmetric.ProcessMemory, drmetric.ProcessGoroutines,
	} {
		if m[name] <= 0 {
			t.Errorf("metric %s is %g, want more than 0", name, m[name])
		}
	}
	is.Equal(m[drmetric.InRateRefusals], 0.0) // the refused request exceeded the burst, so it was not within the rate
	is.Equal(m[drmetric.Requests]-before, 12.0)

	text := logs.String()
	for _, secret := range []string{marker, demoKey, operatorToken, "demo-only-fjordsnor-deployment-secret"} {
		is.True(!strings.Contains(text, secret))
	}
	checkLogFormat(t, text)
	for _, v := range vms {
		code, out, _ := runCommand(v, "timeline", "-request-id", "cold-"+vms[0].Settings.VM)
		is.Equal(code, exitOK)
		checkOrder(t, out, "request-received", "request-admitted", "wake-requested", "load-ordered", "load-ended", "wake-answered",
			"generation-dispatched", "first-token", "request-served")
	}
}

// checkLogFormat checks that every log line starts with the time and has one event,
// and that the events of requests have a request id.
func checkLogFormat(t *testing.T, text string) {
	t.Helper()
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "time=") || strings.Count(line, " event=") != 1 {
			t.Errorf("malformed log line %q", line)
		}
		for _, event := range []string{"request-", "generation-", "wake-", "call-", "first-token", "stream-", "queue-"} {
			if strings.Contains(line, " event="+event) && !strings.Contains(line, " request-id=") {
				t.Errorf("no request id in log line %q", line)
			}
		}
	}
}

// checkOrder checks that text contains the words in the given order.
func checkOrder(t *testing.T, text string, words ...string) {
	t.Helper()
	rest := text
	for _, w := range words {
		_, after, ok := strings.Cut(rest, w)
		if !ok {
			t.Errorf("%q is missing or out of order in:\n%s", w, text)
			return
		}
		rest = after
	}
}
