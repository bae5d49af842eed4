package drstandin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// promptBytesPerToken is the number of prompt bytes that engines count as a token.
const promptBytesPerToken = 4

// TokenText returns the token that an engine generates at index. It depends on all
// arguments, so that a test detects tokens of another generation.
func TokenText(model, adapter, prompt string, index int) string {
	h := xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
	return fmt.Sprintf(" %d-%04x", index, (h>>(uint(index)%3*16))&0xffff)
}

// Answer returns the text of the first n tokens that an engine generates.
func Answer(model, adapter, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(model, adapter, prompt, i))
	}
	return b.String()
}

// PromptTokens returns the number of tokens that an engine counts for a prompt,
// rounded up.
func PromptTokens(prompt string) int {
	return (len(prompt) + promptBytesPerToken - 1) / promptBytesPerToken
}
