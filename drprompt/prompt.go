package drprompt

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelridge/dotterelridge/drfleet"
)

// Prefix is the beginning of a prompt, up to the end of one of its parts.
type Prefix struct {
	// Key identifies the prefix for one model and adapter: its parts and their
	// order.
	Key    uint64
	Tokens int
}

// Prompt holds the prefixes of a call's prompt, the shortest first. The last one is the
// whole prompt.
type Prompt struct {
	Model, Adapter string
	Prefixes       []Prefix
}

// Of returns the prompt of a call. It has no prefixes if the call states no parts.
func Of(call *drfleet.Call) Prompt {
	prompt := Prompt{Model: call.Model, Adapter: call.Adapter}
	key := xxhash.Sum64String(call.Model + "/" + call.Adapter)
	tokens := 0
	var before [8]byte
	for _, p := range call.Prompt {
		binary.LittleEndian.PutUint64(before[:], key)
		d := xxhash.New()
		_, _ = d.Write(before[:])
		_, _ = d.WriteString(p.ID)
		key = d.Sum64()
		tokens += p.Tokens
		prompt.Prefixes = append(prompt.Prefixes, Prefix{key, tokens})
	}
	return prompt
}

// anchorShare is the least share of the tokens of Shared that the Anchor has.
const anchorShare = 0.25

// Anchor returns the shortest prefix with a good part of the tokens that other sessions
// may share, the zero Prefix if there is none. More requests have it in common than any
// longer prefix.
func (p Prompt) Anchor() Prefix {
	least := anchorShare * float64(p.Shared().Tokens)
	if least == 0 {
		return Prefix{}
	}
	i := slices.IndexFunc(p.Prefixes, func(x Prefix) bool { return float64(x.Tokens) >= least })
	return p.Prefixes[i]
}

// ExpectedAtAnchor returns how many tokens an engine is expected to hold to which all
// requests with the Anchor are sent: the Anchor, and the rest of Shared every other time.
func (p Prompt) ExpectedAtAnchor() int { return (p.Anchor().Tokens + p.Shared().Tokens) / 2 }

// Shared returns the longest prefix that requests of other sessions may have, the zero
// Prefix if there is none. The last part belongs to the request or its session.
func (p Prompt) Shared() Prefix {
	if len(p.Prefixes) < 2 {
		return Prefix{}
	}
	return p.Prefixes[len(p.Prefixes)-2]
}

// Tokens returns the number of tokens of the whole prompt.
func (p Prompt) Tokens() int {
	if len(p.Prefixes) == 0 {
		return 0
	}
	return p.Prefixes[len(p.Prefixes)-1].Tokens
}
