package drsettings

import "log/slog"

// redacted is printed instead of a secret.
const redacted = "(secret)"

// Secret is a secret that the settings contain or read from a file. It is redacted
// when settings are printed, logged or encoded.
type Secret struct {
	Value string `json:"value" doc:"The secret itself. Either value or file is given."`
	File  string `json:"file" doc:"File that holds the secret; surrounding white space is removed."`
}

// OperatorToken is the token that authenticates an operator to the admin server. The
// operator's name becomes the author of configuration changes.
type OperatorToken struct {
	Name  string `json:"name" doc:"Name of the operator; the author of changes made with the token. Required."`
	Token Secret `json:"token" doc:"The token, at least 16 bytes."`
}

// Bytes returns the value of the secret. That of a secret in a file is available only
// after Load or Parse.
func (s Secret) Bytes() []byte { return []byte(s.Value) }

// String implements fmt.Stringer. It keeps the secret out of logs and error messages.
func (s Secret) String() string { return redacted }

// GoString implements fmt.GoStringer. It keeps the secret out of values printed with
// %#v.
func (s Secret) GoString() string { return redacted }

// LogValue implements slog.LogValuer. It keeps the secret out of structured logs.
func (s Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalJSON implements json.Marshaler. It keeps the secret out of settings that are
// encoded as JSON.
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"` + redacted + `"`), nil }
