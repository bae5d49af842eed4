package drgateway

import (
	"encoding/base64"
	"fmt"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// keyLeaked reports whether any call to a backend server contained the key,
// literally or percent-encoded up to three times.
func keyLeaked(f *fakeSystem) bool {
	for _, c := range f.calls {
		s := c.Target + " " + string(c.Body)
		for _, h := range c.Header {
			s += " " + h.Name + ": " + h.Value
		}
		for range 4 {
			if strings.Contains(s, testKey) {
				return true
			}
			s = lenientUnescape(s)
		}
	}
	return false
}

// Guards against the caller's key being forwarded to a backend server (I5): in a
// header, cookie, query parameter, path or body, under various names, literally or
// percent-encoded, in base64 or with JSON escapes.
func TestKeyNeverReachesBackends(t *testing.T) {
	escaped := strings.ReplaceAll(url.QueryEscape(testKey), "-", "%2D")
	twice := url.QueryEscape(escaped)
	basic := base64.StdEncoding.EncodeToString([]byte("user:" + testKey))
	for _, tt := range []struct{ query, header, body string }{
		{"", "Proxy-Authorization: Bearer " + testKey, ""},
		{"", "X-Api-Key: " + testKey, ""},
		{"", "x-API-key: " + testKey, ""},
		{"", "X_Api_Key: " + testKey, ""},
		{"", "Api-Key: " + testKey, ""},
		{"", "X-Api-Key: other", ""},
		{"", "X-Custom: token=" + testKey, ""},
		{"", "X-Custom: " + escaped, ""},
		{"", "X-Custom: Basic " + basic, ""},
		{"", "X-" + testKey + ": 1", ""},
		{"", "X-Request-Id: " + testKey, ""},
		{"", "Cookie: a=1; api_key=" + testKey + "; b=" + testKey, ""},
		{"", "Referer: http://x/?access_token=" + testKey, ""},
		{"", "Connection: X-Mine\r\nX-Mine: " + testKey, ""},
		{"", "Idempotency-Key: " + testKey, ""},
		{"?api_key=" + testKey, "", ""},
		{"?API_KEY=" + testKey + "&a=1&api_key=" + testKey, "", ""},
		{"?a=1;key=" + testKey, "", ""},
		{"?a=1&access%5Ftoken=" + testKey, "", ""},
		{"?%61ccess_token%5B%5D=" + testKey, "", ""},
		{"?apiKey=" + escaped, "", ""},
		{"?other=" + escaped, "", ""},
		{"?other=" + twice, "", ""},
		{"?" + testKey, "", ""},
		{"/" + testKey, "", ""},
		{"/" + twice, "", ""},
		{"", "", "key=" + testKey},
		{"", "", "key=" + escaped},
		{"", "", `{"key":"` + strings.Replace(testKey, "s", `\u0073`, 1) + `"}`},
	} {
		t.Run(tt.query+tt.header+tt.body, func(t *testing.T) {
			is := is.New(t)
			f := newFakeSystem()
			s := newTestServer(f)
			var headers []string
			if tt.header != "" {
				headers = strings.Split(tt.header, "\r\n")
			}
			res := do(t, s, "POST", "/bookings"+tt.query, tt.body, headers...)
			refused := res.StatusCode() == 400
			is.Equal(len(f.calls) == 0, refused)
			is.True(!keyLeaked(f))
			for _, c := range f.calls {
				for _, h := range c.Header {
					is.True(!strings.EqualFold(h.Name, "Authorization") && h.Value != "other")
				}
			}
		})
	}
}

// Guards against a key in a trailer being forwarded, because trailers arrive after
// the header has been filtered.
func TestTrailersAreDropped(t *testing.T) {
	is := is.New(t)
	f := newFakeSystem()
	c := dial(t, newTestServer(f))
	go fmt.Fprintf(c.Conn, "POST /bookings HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer %s\r\nTrailer: X-End\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-End: %[1]s\r\n\r\n", testKey)
	is.Equal(c.receive(t).StatusCode(), 201)
	is.Equal(string(f.calls[0].Body), "x")
	is.True(!keyLeaked(f))
	for _, h := range f.calls[0].Header {
		is.True(h.Name != "X-End" && h.Name != "Trailer")
	}
}

// Guards against the removal of keys changing other query parameters or cookies,
// such as those whose names only contain "key".
func TestCleaningKeepsTheRest(t *testing.T) {
	is := is.New(t)
	for in, want := range map[string]string{
		"a=1&b=%2F&a=2":               "a=1&b=%2F&a=2",
		"a=1;b=2":                     "a=1;b=2",
		"monkey=1&keys=2&api_keys=3":  "monkey=1&keys=2&api_keys=3",
		"key=1&a=1&access_token=&b=2": "a=1&b=2",
		"a=%zz&api_key=1":             "a=%zz",
	} {
		is.Equal(removeKeyFromQuery(in, testKey), want)
	}
	is.Equal(removeKeyCookies("a=1; access_token=2; b=3", testKey), "a=1; b=3")
}

// Guards against encodings of a query that get a key past removeKeyFromQuery, and
// against a result that a second pass would change.
func FuzzCleanQuery(f *testing.F) {
	for _, s := range []string{"a=1&api_key=KEY", "a=1;%6bey=KEY", "x=%254bKEY&&;=", "%", "a=K&b=EY"} {
		f.Add(strings.ReplaceAll(s, "KEY", testKey))
	}
	f.Fuzz(func(t *testing.T, q string) {
		out := removeKeyFromQuery(q, testKey)
		if again := removeKeyFromQuery(out, testKey); again != out {
			t.Fatalf("a second pass changed the query: %q, then %q", out, again)
		}
		vs, _ := url.ParseQuery(out)
		for k, list := range vs {
			for _, n := range []string{"api_key", "key", "access_token"} {
				if strings.EqualFold(k, n) {
					t.Fatalf("the query %q still has the parameter %q", out, k)
				}
			}
			for _, v := range list {
				if strings.Contains(k+"="+v, testKey) {
					t.Fatalf("the query %q still contains the key", out)
				}
			}
		}
	})
}

// Guards against request bodies that crash decodeCompletion, or that it accepts
// without a model or beyond its limits.
func FuzzDecodeCompletion(f *testing.F) {
	f.Add([]byte(chatBody), true)
	f.Add([]byte(streamBody), false)
	f.Add([]byte(`{"model":"m","prompt":["a"],"stop":[""],"max_tokens":-1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		c, err := decodeCompletion(body, chat)
		if err != nil {
			return
		}
		if c.Model == "" || c.maxTokens < 0 || len(c.stopSequences) > maxStopSequences || c.estimatePromptTokens()*bytesPerToken < len(c.prompt) {
			t.Fatalf("the invalid body %q was accepted", body)
		}
	})
}

// Guards against values of Request-Timeout that are misread, and against timeouts
// of zero, below zero or above the maximum. A want of 0 stands for an error.
func TestParseTimeout(t *testing.T) {
	is := is.New(t)
	for in, want := range map[string]time.Duration{
		"1": time.Second, "0.25": 250 * time.Millisecond, "3600": time.Hour, ".5": 500 * time.Millisecond,
		"": 0, ".": 0, "0": 0, "-1": 0, "1e3": 0, "inf": 0, "3600.1": 0, "9999999999999999": 0, "1.2.3": 0, "+1": 0,
	} {
		d, err := parseTimeout(in)
		is.Equal(d, want)
		is.Equal(err == nil, want > 0)
	}
}

// Guards against missing a stop sequence that spans several tokens, and against
// losing text that is only the start of one.
func TestStopper(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{"abSTOPcd": "ab", "abSTO": "abSTO", "SSTOP": "S", "x\n\ny": "x"} {
		s := stopFilter{sequences: []string{"STOP", "\n\n"}}
		out := ""
		for _, r := range text {
			out += s.push(string(r))
		}
		is.Equal(out+s.flush(), want)
	}
}
