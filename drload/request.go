package drload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultPromptBytes = 200
	defaultMaxTokens   = 64
	defaultTimeout     = 30 * time.Second
	// bytesPerToken is the prompt estimate that entry VMs charge.
	bytesPerToken = 4
)

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []message     `json:"messages"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int `json:"total_tokens"`
	} `json:"usage"`
}

type problem struct {
	Type string `json:"type"`
	Run  string `json:"run"`
}

// Prompt returns a text of size bytes that is different for each number.
func Prompt(number, size int) string {
	head := fmt.Sprintf("request %d: ", number)
	return head + strings.Repeat("x", max(0, size-len(head)))
}

// send sends one request and reads its whole answer.
func send(client *fasthttp.Client, target string, a Account, ar arrival) outcome {
	size, maxTokens, timeout := a.PromptBytes, a.MaxTokens, time.Duration(a.TimeoutSeconds*float64(time.Second))
	if size == 0 {
		size = defaultPromptBytes
	}
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	o := outcome{account: ar.account, cold: ar.cold, sent: time.Now(), reserved: (size+bytesPerToken-1)/bytesPerToken + maxTokens}
	body, err := json.Marshal(chatRequest{
		Model:         ar.model,
		Messages:      []message{{Role: "user", Content: Prompt(ar.number, size)}},
		MaxTokens:     maxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		o.reason = "transport"
		return o
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + target + "/v1/chat/completions")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+a.Key)
	req.Header.SetContentType("application/json")
	req.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', -1, 64))
	if a.Priority != "" {
		req.Header.Set("Priority", a.Priority)
	}
	req.SetBody(body)
	if err := client.DoTimeout(req, resp, timeout+defaultTimeout); err != nil {
		o.reason = "transport"
		o.total = time.Since(o.sent)
		return o
	}
	o.status = resp.StatusCode()
	if o.status != fasthttp.StatusOK {
		readProblem(resp, &o)
	} else {
		readStream(resp, &o)
	}
	o.total = time.Since(o.sent)
	return o
}

func readProblem(resp *fasthttp.Response, o *outcome) {
	var p problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil {
		o.reason = "unreadable-problem"
		return
	}
	o.reason, o.run = p.Type[strings.LastIndexByte(p.Type, '/')+1:], p.Run
}

// readStream reads server-sent events until the end marker.
func readStream(resp *fasthttp.Response, o *outcome) {
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	lines := bufio.NewScanner(body)
	last := o.sent
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.complete = true
			break
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			o.reason = "unreadable-event"
			return
		}
		if c.Usage != nil {
			o.used = c.Usage.TotalTokens
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if o.firstToken == 0 {
			o.firstToken = now.Sub(o.sent)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
	}
	if !o.complete {
		o.reason = "incomplete"
	}
}
