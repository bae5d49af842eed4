package drrouter

import "github.com/dotterelridge/dotterelridge/drrequest"

// Field is one HTTP header field.
type Field struct{ Name, Value string }

// Call is an HTTP request to a plain service, a backend server that runs no
// models.
type Call struct {
	// ID is the request id in recorded events.
	ID      string
	Account string
	Method  string
	// Target is the path and query as they appear in the request line.
	Target string
	Header []Field
	Body   []byte
	// Repeatable says that the call may be executed more than once.
	Repeatable bool
	// Proceed, unless nil, is called right before each dispatch. Its error ends
	// the call without that dispatch.
	Proceed func() error
}

// fingerprint returns the same value for resends of the same call. It ignores
// the header.
func (c Call) fingerprint() drrequest.Fingerprint {
	return drrequest.NewFingerprint(c.Account, c.Method+" "+c.Target, c.Body)
}

// Answer is the HTTP response of a plain service.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}
