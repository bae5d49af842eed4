package drprompt

import (
	"math"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
)

const (
	// longPrompt is the number of tokens from which reading a prompt delays the others
	// at an engine noticeably, by about 100 ms.
	longPrompt = 3000
	// mixWindow is the time constant of the sums in a Mix.
	mixWindow = 30 * time.Second
)

// Long reports whether a prompt has so many tokens that reading it delays other requests
// noticeably.
func Long(tokens int) bool { return tokens >= longPrompt }

// Mix measures which share of the tokens that engines read for a VM is in long prompts.
// It is safe for concurrent use.
type Mix struct {
	clock drclock.Clock

	mu        sync.Mutex
	long, all float64
	at        time.Time
}

// NewMix returns a Mix that has measured nothing.
func NewMix(clock drclock.Clock) *Mix { return &Mix{clock: clock} }

// Add adds a prompt of which an engine has to read the given number of tokens.
func (m *Mix) Add(tokens, unread int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	decay := math.Exp(-now.Sub(m.at).Seconds() / mixWindow.Seconds())
	m.at = now
	m.long *= decay
	m.all = m.all*decay + float64(unread)
	if Long(tokens) {
		m.long += float64(unread)
	}
}

// LongShare returns the share of long prompts in the tokens of recent prompts, 0 to 1.
func (m *Mix) LongShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.all == 0 {
		return 0
	}
	return m.long / m.all
}
