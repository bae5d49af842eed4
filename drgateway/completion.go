package drgateway

import (
	"encoding/json"
	"strings"

	"github.com/dotterelridge/dotterelridge/drerror"
)

// completionRequest is the decoded request body of either completions endpoint.
// JSON members that it does not list are ignored.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Stop json.RawMessage `json:"stop"`

	chat          bool
	prompt        string
	maxTokens     int // 0 if the request states no limit
	stopSequences []string
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// malformed returns an error that is reported to the caller as status 400.
func malformed(format string, args ...any) error {
	return drerror.New(drerror.NotRun, drerror.MalformedRequest, format, args...)
}

// decodeCompletion parses and validates a request body. Chat says which of the two
// endpoints received it.
func decodeCompletion(body []byte, chat bool) (*completionRequest, error) {
	c := &completionRequest{chat: chat}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, malformed("the body is not valid JSON for this endpoint")
	}
	if c.Model == "" {
		return nil, malformed("the member %q is missing", "model")
	}
	if c.N != nil && *c.N != 1 {
		return nil, malformed("only n=1 is supported")
	}
	for _, n := range []*int{c.MaxTokens, c.MaxCompletionTokens} {
		if n == nil {
			continue
		}
		if *n < 1 {
			return nil, malformed("max_tokens and max_completion_tokens must be positive")
		}
		c.maxTokens = *n
	}
	var err error
	if chat {
		c.prompt, err = renderChat(c.Messages)
	} else {
		c.prompt, err = decodeSingleString(c.Prompt, "prompt")
	}
	if err != nil {
		return nil, err
	}
	c.stopSequences, err = decodeStops(c.Stop)
	return c, err
}

// renderChat joins chat messages into the prompt format of the engines: one
// "role: text" line for each message, then "assistant:". A role must not contain
// a colon or a line break, so that it cannot be confused with the text.
func renderChat(messages []message) (string, error) {
	if len(messages) == 0 {
		return "", malformed("the member %q is missing or empty", "messages")
	}
	var b strings.Builder
	for _, m := range messages {
		text, err := decodeContent(m.Content)
		if err != nil {
			return "", err
		}
		if m.Role == "" || strings.ContainsAny(m.Role, ":\n") {
			return "", malformed("the role of a message is missing or contains a colon or line break")
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// decodeContent decodes the content of a chat message, which is a string, null or
// a list of parts of type text.
func decodeContent(raw json.RawMessage) (string, error) {
	var s *string
	if len(raw) == 0 || json.Unmarshal(raw, &s) == nil {
		if s == nil {
			return "", nil
		}
		return *s, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", malformed("the content of a message is neither a string nor a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", malformed("only content parts of type text are supported")
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// decodeSingleString decodes the JSON member name, which must be a string or a
// list of exactly one string.
func decodeSingleString(raw json.RawMessage, name string) (string, error) {
	var s string
	if json.Unmarshal(raw, &s) == nil && len(raw) > 0 && raw[0] == '"' {
		return s, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", malformed("the member %q must be one string", name)
}

// decodeStops decodes the stop sequences, which are a string, a list of strings or
// null.
func decodeStops(raw json.RawMessage) ([]string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, nil
	}
	var one string
	stops := []string{}
	if json.Unmarshal(raw, &one) == nil {
		stops = append(stops, one)
	} else if json.Unmarshal(raw, &stops) != nil {
		return nil, malformed("the member %q is neither a string nor a list of strings", "stop")
	}
	if len(stops) > maxStopSequences {
		return nil, malformed("the request has more than %d stop sequences", maxStopSequences)
	}
	for _, s := range stops {
		if s == "" || len(s) > maxStopSequenceBytes {
			return nil, malformed("a stop sequence must have 1 to %d bytes", maxStopSequenceBytes)
		}
	}
	return stops, nil
}

// estimatePromptTokens estimates the number of prompt tokens as the prompt's bytes
// divided by bytesPerToken, rounded up. When the request is settled, the engine's
// count replaces the estimate.
func (c *completionRequest) estimatePromptTokens() int {
	return (len(c.prompt) + bytesPerToken - 1) / bytesPerToken
}
