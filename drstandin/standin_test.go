package drstandin_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drengine"
	"github.com/dotterelridge/dotterelridge/drstandin"
)

// standin is a simulated system that listens on an address.
type standin interface {
	Start() error
	Address() string
	Close()
}

// startStandin starts s for the duration of the test and returns its base URL.
func startStandin(t *testing.T, s standin) string {
	t.Helper()
	is.New(t).NoErr(s.Start())
	t.Cleanup(s.Close)
	return "http://" + s.Address()
}

// request sends a request that must get a response, and returns its status and
// body.
func request(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	status, text, err := tryRequest(method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	return status, text
}

// tryRequest sends a request once and returns the status and body of the response.
func tryRequest(method, url, body string) (int, string, error) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Close = true // on a reused connection, net/http may repeat a failed request
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// eventually waits up to 5 seconds until isMet returns true, else fails the test.
func eventually(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if isMet() {
			return
		}
	}
	t.Fatal("not met within 5 seconds: " + condition)
}

// Guards against faults of the log that have no effect or a wrong one, against reads
// that miss a late append, and against records that outlive the retention.
func TestLog(t *testing.T) {
	is := is.New(t)
	l := drstandin.NewLog(drstandin.LogConfig{RetainCount: 3})
	url := startStandin(t, l) + "/v1/streams/s/records"
	_, b := request(t, "POST", url, "a")
	is.Equal(b, `{"offset":1}`)

	l.SetFaults(drstandin.LogFaults{LoseAnswer: true})
	_, _, err := tryRequest("POST", url, "b")
	is.True(err != nil)
	is.Equal(l.Counts().Appends, 2) // appended although the response was lost

	_, b = request(t, "POST", "http://"+l.Address()+"/v1/faults", `{"lose-answer":false,"late-append":"50ms"}`)
	is.True(strings.Contains(b, `"late-append":"50ms"`))
	_, _, err = tryRequest("POST", url, "c")
	is.True(err != nil)
	_, b = request(t, "GET", url+"?from=3&wait=5s", "")
	is.True(strings.Contains(b, `"data":"Yw=="`)) // a long poll returns the late append

	l.SetFaults(drstandin.LogFaults{})
	request(t, "POST", url, "d")
	status, b := request(t, "GET", url+"?from=1", "")
	is.Equal(status, http.StatusGone)
	is.Equal(b, `{"first":2,"next":5}`)

	l.SetFaults(drstandin.LogFaults{Down: true})
	_, _, err = tryRequest("GET", url+"?from=2", "")
	is.True(err != nil)
}

// Guards against a log that does not enforce its limit of appends per second.
func TestLogLimitsAppends(t *testing.T) {
	is := is.New(t)
	l := drstandin.NewLog(drstandin.LogConfig{AppendRate: 1})
	url := startStandin(t, l) + "/v1/streams/s/records"
	status, _ := request(t, "POST", url, "a")
	is.Equal(status, http.StatusOK)
	status, _ = request(t, "POST", url, "b")
	is.Equal(status, http.StatusTooManyRequests)
}

// Guards against a VM list that shows a change before its lag has passed, or never.
func TestVMListLags(t *testing.T) {
	is := is.New(t)
	l := drstandin.NewVMList(drstandin.VMListConfig{
		VMs: []drstandin.VM{{ID: "a", Role: "entry"}}, Lag: 100 * time.Millisecond,
	})
	url := startStandin(t, l) + "/v1/vms"
	begin := time.Now()
	request(t, "POST", url, `{"op":"leaving","vm":{"id":"a"}}`)
	status, _ := request(t, "GET", url+"?version=1", "")
	is.Equal(status, http.StatusNotModified)
	eventually(t, "leaving", func() bool {
		_, b := request(t, "GET", url, "")
		return strings.Contains(b, "leaving")
	})
	is.True(time.Since(begin) >= 100*time.Millisecond)
}

var catalogue = []drstandin.Checkpoint{
	{Name: "m", Bytes: 60, Remote: drstandin.Duration(80 * time.Millisecond), Disk: drstandin.Duration(10 * time.Millisecond)},
	{Name: "n", Bytes: 60, Remote: drstandin.Duration(80 * time.Millisecond)},
	{Name: "a", Base: "m", Bytes: 1},
}

// Guards against a weight store that sends more than four models at once at full
// speed.
func TestWeightStoreSlowsDown(t *testing.T) {
	is := is.New(t)
	w := drstandin.NewWeightStore(drstandin.WeightStoreConfig{Catalogue: catalogue})
	url := startStandin(t, w)
	begin := time.Now()
	ended := make(chan error)
	for range 8 {
		go func() {
			_, _, err := tryRequest("GET", url+"/v1/weights/m", "")
			ended <- err
		}()
	}
	for range 8 {
		is.NoErr(<-ended)
	}
	is.True(time.Since(begin) >= 150*time.Millisecond) // 8 concurrent transfers take twice 80 ms
	is.Equal(w.Counts().MostModels, 8)
}

// startEngine starts an engine without a report lag and returns it with its base
// URL.
func startEngine(t *testing.T, c drstandin.EngineConfig) (*drstandin.Engine, string) {
	t.Helper()
	c.Catalogue, c.Memory, c.Name = catalogue, 100, "e"
	c.ReportLag, c.TokenInterval = -1, time.Millisecond
	c.RestartDelay = 50 * time.Millisecond
	e := drstandin.NewEngine(c)
	return e, startStandin(t, e)
}

// loadReplica orders a replica and waits until it is loaded.
func loadReplica(t *testing.T, e *drstandin.Engine, url, replica, model, base string) {
	t.Helper()
	body := fmt.Sprintf(`{"op":"load","replica":%q,"model":%q,"base":%q}`, replica, model, base)
	if status, b := request(t, "POST", url+"/v1/orders", body); status != http.StatusAccepted {
		t.Fatal(status, b)
	}
	eventually(t, "loaded", func() bool {
		for _, r := range e.Replicas() {
			if r.ID == replica {
				return r.State == drengine.Loaded
			}
		}
		return false
	})
}

// tokenText joins the texts of the tokens in a response body, of which the last line
// may be cut off.
func tokenText(body string) (text string) {
	for lines := bufio.NewScanner(bytes.NewBufferString(body)); lines.Scan(); {
		var token drengine.Token
		if json.Unmarshal(lines.Bytes(), &token) == nil {
			text += token.Text
		}
	}
	return text
}

// Guards against orders that load the same replica id twice, exceed the memory or are
// carried out with a stale fencing token, and against adapters that outlive their
// base model.
func TestEngineOrders(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, drstandin.EngineConfig{ChecksFence: true})
	loadReplica(t, e, url, "r1", "m", "")
	loadReplica(t, e, url, "r1", "m", "")
	loadReplica(t, e, url, "r2", "a", "m")
	is.Equal(e.Counts().Loads, 2)
	is.Equal(e.Counts().MostReplicas["m"], 1)
	status, _ := request(t, "POST", url+"/v1/orders", `{"op":"load","replica":"r3","model":"n"}`)
	is.Equal(status, http.StatusInsufficientStorage)
	request(t, "GET", url+"/v1/state?fence=7", "")
	status, _ = request(t, "POST", url+"/v1/orders", `{"op":"unload","replica":"r1","fence":6}`)
	is.Equal(status, http.StatusConflict)
	status, _ = request(t, "POST", url+"/v1/orders", `{"op":"unload","replica":"r1","fence":7}`)
	is.Equal(status, http.StatusAccepted)
	is.Equal(len(e.Replicas()), 0) // the adapter was unloaded with its base model
	is.Equal(e.Counts().MostUsed, int64(61))
}

// Guards against a broken stream that cannot be resumed, and against a poison prompt
// that does not crash the engine or leaves replicas loaded.
func TestEngineStreams(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, drstandin.EngineConfig{Poison: "poison"})
	loadReplica(t, e, url, "r1", "m", "")
	e.SetFaults(drstandin.EngineFaults{DropAfter: 3})
	_, b, err := tryRequest("POST", url+"/v1/generate", `{"id":"g","model":"m","prompt":"hello","max-tokens":9}`)
	is.True(err != nil)
	// Closing the connection may lose the last lines that were written.
	is.True(strings.HasPrefix(drstandin.Answer("m", "", "hello", 3), tokenText(b)))
	e.SetFaults(drstandin.EngineFaults{})
	_, b = request(t, "GET", url+"/v1/generations/g?from=0", "")
	is.Equal(tokenText(b), drstandin.Answer("m", "", "hello", 9))
	is.Equal(e.Counts().Generations, 1)
	is.True(e.Saw("hello"))
	is.True(!e.Saw("secret"))

	_, _, err = tryRequest("POST", url+"/v1/generate", `{"id":"p","model":"m","prompt":"poison"}`)
	is.True(err != nil)
	is.Equal(len(e.Replicas()), 0)
	eventually(t, "restart", func() bool {
		_, b, err := tryRequest("GET", url+"/v1/state", "")
		return err == nil && strings.Contains(b, `"instance":"e-2"`)
	})
}

// Guards against a service that counts a failed request as executed, or does not count
// one whose response was lost.
func TestServiceCounts(t *testing.T) {
	is := is.New(t)
	s := drstandin.NewService(drstandin.ServiceConfig{})
	url := startStandin(t, s) + "/book?x=1"
	_, b := request(t, "POST", url, "body")
	is.True(strings.Contains(b, `"body":"body"`))
	s.SetFaults(drstandin.ServiceFaults{LoseAnswer: true})
	_, _, err := tryRequest("POST", url, "")
	is.True(err != nil)
	s.SetFaults(drstandin.ServiceFaults{Fail: true})
	status, _ := request(t, "POST", url, "")
	is.Equal(status, http.StatusInternalServerError)
	is.Equal(s.Counts().Paths["/book"], 2)
}
