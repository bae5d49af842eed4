package drprocess

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// standinClient sends requests to the stand-ins directly, to switch faults and to
// read counters.
var standinClient = &http.Client{Timeout: 10 * time.Second}

// postJSON sends v as JSON to a stand-in. It ends the test if the stand-in refuses
// it.
func postJSON(t testing.TB, address, path string, v any) {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	res, err := standinClient.Post("http://"+address+path, "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		b, _ := io.ReadAll(res.Body)
		t.Fatalf("POST %s: %d %s", path, res.StatusCode, b)
	}
}

// getJSON reads JSON from a stand-in.
func getJSON(address, path string, into any) error {
	res, err := standinClient.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %d", path, res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(into)
}

// injectFaults switches faults of a stand-in on until off is called or the test
// ends.
func injectFaults(t testing.TB, address string, faults map[string]any) (off func()) {
	t.Helper()
	postJSON(t, address, "/v1/faults", faults)
	reset := map[string]any{}
	for name, v := range faults {
		switch v.(type) {
		case bool:
			reset[name] = false
		case string:
			reset[name] = "0s"
		default:
			reset[name] = 0
		}
	}
	done := false
	off = func() {
		if !done {
			done = true
			postJSON(t, address, "/v1/faults", reset)
		}
	}
	t.Cleanup(off)
	return off
}
