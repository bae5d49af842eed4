package drgateway

import (
	"bufio"
	"encoding/json"
)

// usage counts tokens in the OpenAI shape.
type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type textMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Message      *textMessage `json:"message,omitempty"`
	Delta        *textMessage `json:"delta,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// reply is a complete response or one event of a streamed one.
type reply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (r reply) json() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		return nil // strings and ints always encode
	}
	return b
}

// writeEvent sends one server-sent event. Data has no line breaks.
func writeEvent(w *bufio.Writer, event string, data []byte) error {
	if event != "" {
		_, _ = w.WriteString("event: " + event + "\n")
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() // returns the first error of the writes
}
