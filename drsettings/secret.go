package drsettings

import "log/slog"

// redacted replaces secrets wherever settings are printed.
const redacted = "(secret)"

// Secret is a secret that is given in the settings or in a file.
type Secret struct {
	Value string `json:"value" doc:"The secret itself. Either value or file is given."`
	File  string `json:"file" doc:"File that holds the secret; surrounding white space is removed."`
}

// OperatorToken admits one operator, whose name becomes the author of changes.
type OperatorToken struct {
	Name  string `json:"name" doc:"Name of the operator; the author of changes made with the token. Required."`
	Token Secret `json:"token" doc:"The token, at least 16 bytes."`
}

// Bytes returns the secret, after Load also that of a file.
func (s Secret) Bytes() []byte { return []byte(s.Value) }

// String hides the secret from logs and error messages.
func (s Secret) String() string { return redacted }

// GoString hides the secret from %#v.
func (s Secret) GoString() string { return redacted }

// LogValue hides the secret from structured logs.
func (s Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalJSON hides the secret from printed settings.
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }
