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
	// bytesPerToken is the prompt size for which entry VMs reserve one token.
	bytesPerToken = 4
)

// message and the types below it are the parts of the chat completion API that are used
// here.
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

// problem is the part of a refusal's problem document that is used here.
type problem struct {
	Type string `json:"type"`
	Run  string `json:"run"`
}

// Prompt returns a text that is different for each number. It has size bytes, or more if
// the prefix with the number is longer.
func Prompt(number, size int) string {
	prefix := fmt.Sprintf("request %d: ", number)
	return prefix + strings.Repeat("x", max(0, size-len(prefix)))
}

// sendRequest sends one streaming chat request and reads its whole answer. Beyond the
// request's own timeout it waits for another defaultTimeout, so that the entry VM can
// report the timeout itself.
func sendRequest(client *fasthttp.Client, target string, account Account, request arrival) outcome {
	promptBytes, maxTokens, timeout := account.PromptBytes, account.MaxTokens, time.Duration(account.TimeoutSeconds*float64(time.Second))
	if promptBytes == 0 {
		promptBytes = defaultPromptBytes
	}
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	result := outcome{account: request.account, coldStart: request.coldStart, sent: time.Now(), reservedTokens: (promptBytes+bytesPerToken-1)/bytesPerToken + maxTokens}
	body, err := json.Marshal(chatRequest{
		Model:         request.model,
		Messages:      []message{{Role: "user", Content: Prompt(request.number, promptBytes)}},
		MaxTokens:     maxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		result.reason = "transport"
		return result
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + target + "/v1/chat/completions")
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+account.Key)
	req.Header.SetContentType("application/json")
	req.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', -1, 64))
	if account.Priority != "" {
		req.Header.Set("Priority", account.Priority)
	}
	req.SetBody(body)
	if err := client.DoTimeout(req, resp, timeout+defaultTimeout); err != nil {
		result.reason = "transport"
		result.totalTime = time.Since(result.sent)
		return result
	}
	result.status = resp.StatusCode()
	if result.status != fasthttp.StatusOK {
		readProblem(resp, &result)
	} else {
		readStream(resp, &result)
	}
	result.totalTime = time.Since(result.sent)
	return result
}

// readProblem sets reason and runState from the problem document of a refusal.
func readProblem(resp *fasthttp.Response, result *outcome) {
	var p problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil {
		result.reason = "unreadable-problem"
		return
	}
	result.reason, result.runState = p.Type[strings.LastIndexByte(p.Type, '/')+1:], p.Run
}

// readStream reads server-sent events until the end marker and notes the times of the
// tokens. If the stream ends earlier, the reason is "incomplete".
func readStream(resp *fasthttp.Response, result *outcome) {
	body := resp.BodyStream()
	if body == nil {
		body = bytes.NewReader(resp.Body())
	}
	lines := bufio.NewScanner(body)
	lastToken := result.sent
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.complete = true
			break
		}
		var c chatChunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			result.reason = "unreadable-event"
			return
		}
		if c.Usage != nil {
			result.usedTokens = c.Usage.TotalTokens
		}
		if len(c.Choices) == 0 || c.Choices[0].Delta.Content == "" {
			continue
		}
		now := time.Now()
		if result.timeToFirstToken == 0 {
			result.timeToFirstToken = now.Sub(result.sent)
		} else {
			result.tokenGaps = append(result.tokenGaps, now.Sub(lastToken))
		}
		lastToken = now
	}
	if !result.complete {
		result.reason = "incomplete"
	}
}
