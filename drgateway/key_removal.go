package drgateway

import (
	"encoding/base64"
	"net/url"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/dotterelridge/dotterelridge/drrouter"
)

// credentialNames are the names of headers, cookies and query parameters in which
// callers send keys, as normalizeName returns them.
var credentialNames = map[string]bool{
	"authorization": true, "proxyauthorization": true,
	"xapikey": true, "apikey": true, "key": true, "accesstoken": true,
}

// hopByHopHeaders are the headers that apply to a single connection and so must
// not be forwarded.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authentication-info": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true,
}

// gatewayHeaders are not copied between caller and backend server, because the
// gateway or its HTTP client sets or evaluates them itself.
var gatewayHeaders = map[string]bool{
	"host": true, "content-length": true, "x-request-id": true, "expect": true, "request-timeout": true,
}

// minSubstringKeyBytes is the shortest key that is searched for inside longer
// values. Shorter keys would match by chance, so they must match a whole value.
const minSubstringKeyBytes = 8

// base64Alphabet holds the characters of standard and URL-safe base64.
const base64Alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/-_"

// maxPercentDecodes is how many layers of percent-encoding are removed from a
// value in search of a key.
const maxPercentDecodes = 3

// normalizeName maps the spellings of a name to a single one: lower case, without
// separators and without the brackets with which some frameworks mark lists.
func normalizeName(name string) string {
	return strings.Map(func(r rune) rune {
		switch r {
		case '-', '_', ' ', '.', '[', ']', '+', '\t', 0:
			return -1
		}
		return r
	}, strings.ToLower(name))
}

// containsKey reports whether text equals or contains the key, literally,
// percent-encoded or in base64. An empty key is never contained.
func containsKey(text, key string) bool {
	if key == "" {
		return false
	}
	for range maxPercentDecodes + 1 {
		if strings.TrimSpace(text) == key || len(key) >= minSubstringKeyBytes && (strings.Contains(text, key) || containsBase64Key(text, key)) {
			return true
		}
		decoded, err := url.QueryUnescape(text)
		if err != nil {
			decoded = lenientUnescape(text)
		}
		if decoded == text {
			return false
		}
		text = decoded
	}
	return false
}

// lenientUnescape decodes the valid percent-escapes of text and keeps invalid ones
// as they are, where url.PathUnescape would fail.
func lenientUnescape(text string) string {
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if d, err := url.PathUnescape(text[i : i+3]); err == nil {
				b.WriteString(d)
				i += 2
				continue
			}
		}
		b.WriteByte(text[i])
	}
	return b.String()
}

// containsBase64Key reports whether a base64 word of text decodes to a string that
// contains the key, as in Basic credentials.
func containsBase64Key(text, key string) bool {
	words := strings.FieldsFunc(text, func(r rune) bool { return !strings.ContainsRune(base64Alphabet, r) })
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

// removeKeyFromQuery removes the query parameters that carry a key. Other
// parameters keep their order and encoding.
func removeKeyFromQuery(query, key string) string {
	var out strings.Builder
	rest, sep := query, ""
	for more := true; more; {
		part, next := rest, ""
		// Some servers also split at semicolons.
		i := strings.IndexAny(rest, "&;")
		if more = i >= 0; more {
			part, next, rest = rest[:i], rest[i:i+1], rest[i+1:]
		}
		if part != "" && !isKeyParameter(part, key) {
			if out.Len() > 0 {
				out.WriteString(sep)
			}
			out.WriteString(part)
		}
		sep = next
	}
	if containsKey(out.String(), key) {
		return "" // the key spans several parameters
	}
	return out.String()
}

// isKeyParameter reports whether a "name=value" pair of a query or cookie has a
// name for keys or contains the caller's key.
func isKeyParameter(part, key string) bool {
	name, _, _ := strings.Cut(part, "=")
	for range maxPercentDecodes + 1 {
		// A decoded name may itself contain "=".
		n, _, _ := strings.Cut(name, "=")
		if credentialNames[normalizeName(n)] {
			return true
		}
		decoded := lenientUnescape(name)
		if decoded == name {
			break
		}
		name = decoded
		if strings.ContainsAny(decoded, "&;") {
			for _, p := range strings.FieldsFunc(decoded, func(r rune) bool { return r == '&' || r == ';' }) {
				p, _, _ = strings.Cut(p, "=")
				if credentialNames[normalizeName(p)] {
					return true
				}
			}
		}
	}
	return containsKey(part, key)
}

// forwardableHeader returns the header fields of a request that may be sent to a
// backend server: those that are neither hop-by-hop, nor trailers, nor set by the
// gateway, and that carry no key.
func forwardableHeader(header *fasthttp.RequestHeader, key string) []drrouter.Field {
	drop := make(map[string]bool)
	for _, t := range header.PeekTrailerKeys() {
		drop[strings.ToLower(string(t))] = true
	}
	for _, v := range header.PeekAll(fasthttp.HeaderConnection) {
		for n := range strings.SplitSeq(string(v), ",") {
			drop[strings.ToLower(strings.TrimSpace(n))] = true
		}
	}
	var out []drrouter.Field
	for k, v := range header.All() {
		name, value := string(k), string(v)
		lowerName := strings.ToLower(name)
		if drop[lowerName] || hopByHopHeaders[lowerName] || gatewayHeaders[lowerName] || credentialNames[normalizeName(name)] {
			continue
		}
		if lowerName == "cookie" {
			value = removeKeyCookies(value, key)
		}
		if value == "" && lowerName == "cookie" || containsKey(name, key) || containsKey(value, key) {
			continue
		}
		out = append(out, drrouter.Field{Name: name, Value: value})
	}
	return out
}

// removeKeyCookies removes the cookies that carry a key. The others are kept,
// because plain services may use them for their own sessions.
func removeKeyCookies(value, key string) string {
	var out []string
	for c := range strings.SplitSeq(value, ";") {
		c = strings.TrimSpace(c)
		if c != "" && !isKeyParameter(c, key) {
			out = append(out, c)
		}
	}
	return strings.Join(out, "; ")
}

// copyResponseHeader copies the header fields of a backend server's response to
// res, without the hop-by-hop ones and those that the gateway sets.
func copyResponseHeader(res *fasthttp.Response, fields []drrouter.Field) {
	drop := make(map[string]bool)
	for _, f := range fields {
		if strings.EqualFold(f.Name, fasthttp.HeaderConnection) {
			for n := range strings.SplitSeq(f.Value, ",") {
				drop[strings.ToLower(strings.TrimSpace(n))] = true
			}
		}
	}
	for _, f := range fields {
		lowerName := strings.ToLower(f.Name)
		if !drop[lowerName] && !hopByHopHeaders[lowerName] && !gatewayHeaders[lowerName] {
			res.Header.Add(f.Name, f.Value)
		}
	}
}
