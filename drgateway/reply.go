package drgateway

import (
	"bufio"
	"encoding/json"
)

// usage holds token counts in the OpenAI format.
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

// reply is a complete response, or one event of a streamed response, in the OpenAI
// format.
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
		return nil // cannot happen: strings and ints always encode
	}
	return b
}

// writeEvent sends one server-sent event, without a name if event is empty. Data
// must contain no line breaks.
func writeEvent(w *bufio.Writer, event string, data []byte) error {
	if event != "" {
		_, _ = w.WriteString("event: " + event + "\n")
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush() // also returns an error of the writes above
}
