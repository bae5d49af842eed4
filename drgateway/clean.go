package drgateway

import (
	"encoding/base64"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drrouter"
)

// keyNames are the names, in the form of plainName, under which callers send
// keys in headers, cookies and query parameters.
var keyNames = map[string]bool{
	"authorization": true, "proxyauthorization": true,
	"xapikey": true, "apikey": true, "key": true, "accesstoken": true,
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authentication-info": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true,
}

// ownHeaders are set by the gate or its HTTP client.
var ownHeaders = map[string]bool{
	"host": true, "content-length": true, "x-request-id": true, "expect": true, "request-timeout": true,
}

// minContained is the length from which a key is searched for inside longer
// values. Shorter ones would match by chance.
const minContained = 8

// base64Letters holds those of both alphabets.
const base64Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/-_"

// maxDecodes bounds how often a value is percent-decoded in search of a key.
const maxDecodes = 3

// plainName maps the spellings of a name to one: lower case without separators
// and without the signs with which some frameworks mark lists.
func plainName(s string) string {
	return strings.Map(func(r rune) rune {
		switch r {
		case '-', '_', ' ', '.', '[', ']', '+', '\t', 0:
			return -1
		}
		return r
	}, strings.ToLower(s))
}

// holdsKey reports whether s is or contains the key, as it is, percent-encoded
// or in base64.
func holdsKey(s, key string) bool {
	if key == "" {
		return false
	}
	for range maxDecodes + 1 {
		if strings.TrimSpace(s) == key || len(key) >= minContained && (strings.Contains(s, key) || holdsBase64(s, key)) {
			return true
		}
		d, err := url.QueryUnescape(s)
		if err != nil {
			d = lenientUnescape(s)
		}
		if d == s {
			return false
		}
		s = d
	}
	return false
}

// lenientUnescape decodes the valid escapes of s and keeps the rest.
func lenientUnescape(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if d, err := url.PathUnescape(s[i : i+3]); err == nil {
				b.WriteString(d)
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

// holdsBase64 looks for the key in the base64 words of s, as in Basic
// credentials.
func holdsBase64(s, key string) bool {
	words := strings.FieldsFunc(s, func(r rune) bool { return !strings.ContainsRune(base64Letters, r) })
	for _, w := range words {
		if len(w) < len(key) {
			continue
		}
		w = strings.NewReplacer("-", "+", "_", "/").Replace(w)
		if d, err := base64.RawStdEncoding.DecodeString(w); err == nil && strings.Contains(string(d), key) {
			return true
		}
	}
	return false
}

// cleanQuery removes the parameters that carry a key. Other parameters keep
// their order and encoding.
func cleanQuery(query, key string) string {
	var out strings.Builder
	rest, sep := query, ""
	for more := true; more; {
		part, next := rest, ""
		// Some servers also split at semicolons.
		i := strings.IndexAny(rest, "&;")
		if more = i >= 0; more {
			part, next, rest = rest[:i], rest[i:i+1], rest[i+1:]
		}
		if part != "" && !keyParameter(part, key) {
			if out.Len() > 0 {
				out.WriteString(sep)
			}
			out.WriteString(part)
		}
		sep = next
	}
	if holdsKey(out.String(), key) {
		return "" // the key is spread over several parameters
	}
	return out.String()
}

func keyParameter(part, key string) bool {
	name, _, _ := strings.Cut(part, "=")
	for range maxDecodes + 1 {
		// A decoded name may itself contain the separator.
		n, _, _ := strings.Cut(name, "=")
		if keyNames[plainName(n)] {
			return true
		}
		d := lenientUnescape(name)
		if d == name {
			break
		}
		name = d
		if strings.ContainsAny(d, "&;") {
			for _, p := range strings.FieldsFunc(d, func(r rune) bool { return r == '&' || r == ';' }) {
				p, _, _ = strings.Cut(p, "=")
				if keyNames[plainName(p)] {
					return true
				}
			}
		}
	}
	return holdsKey(part, key)
}

// cleanHeader returns the fields of a request that may reach a backend server.
func cleanHeader(h *fasthttp.RequestHeader, key string) []drrouter.Field {
	drop := make(map[string]bool)
	for _, t := range h.PeekTrailerKeys() {
		drop[strings.ToLower(string(t))] = true
	}
	for _, v := range h.PeekAll(fasthttp.HeaderConnection) {
		for n := range strings.SplitSeq(string(v), ",") {
			drop[strings.ToLower(strings.TrimSpace(n))] = true
		}
	}
	var out []drrouter.Field
	for k, v := range h.All() {
		name, value := string(k), string(v)
		low := strings.ToLower(name)
		if drop[low] || hopByHop[low] || ownHeaders[low] || keyNames[plainName(name)] {
			continue
		}
		if low == "cookie" {
			value = cleanCookies(value, key)
		}
		if value == "" && low == "cookie" || holdsKey(name, key) || holdsKey(value, key) {
			continue
		}
		out = append(out, drrouter.Field{Name: name, Value: value})
	}
	return out
}

// cleanCookies keeps the cookies that carry no key: plain services may use
// them for sessions of their own.
func cleanCookies(value, key string) string {
	var out []string
	for c := range strings.SplitSeq(value, ";") {
		c = strings.TrimSpace(c)
		if c != "" && !keyParameter(c, key) {
			out = append(out, c)
		}
	}
	return strings.Join(out, "; ")
}

// copyHeader copies the fields of a backend server's response.
func copyHeader(res *fasthttp.Response, fields []drrouter.Field) {
	drop := make(map[string]bool)
	for _, f := range fields {
		if strings.EqualFold(f.Name, fasthttp.HeaderConnection) {
			for n := range strings.SplitSeq(f.Value, ",") {
				drop[strings.ToLower(strings.TrimSpace(n))] = true
			}
		}
	}
	for _, f := range fields {
		low := strings.ToLower(f.Name)
		if !drop[low] && !hopByHop[low] && !ownHeaders[low] {
			res.Header.Add(f.Name, f.Value)
		}
	}
}
