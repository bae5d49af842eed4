package drrouter

// Field is a header field.
type Field struct{ Name, Value string }

// Call is a request to a plain service.
type Call struct {
	ID      string
	Account string
	Method  string
	// Target is the path and query as they appear in the request line.
	Target string
	Header []Field
	Body   []byte
	// Repeatable calls may be executed more than once.
	Repeatable bool
	// Proceed is asked right before each dispatch unless it is nil. Its error
	// ends the call.
	Proceed func() error
}

func (c Call) fingerprint() Fingerprint {
	return NewFingerprint(c.Account, c.Method+" "+c.Target, c.Body)
}

// Answer is the response of a plain service.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}
