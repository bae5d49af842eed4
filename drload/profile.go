// Package drload generates open-loop load for entry VMs: requests are sent at planned
// times, whether or not earlier ones were answered. It reports latencies and refusals
// by client account.
package drload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Profile describes the load of one run.
type Profile struct {
	// Targets are the callers' addresses of entry VMs, such as "127.0.0.1:8080".
	Targets []string `json:"targets"`
	// Seed determines arrival times, models and targets. Equal profiles with equal
	// seeds send the same requests.
	Seed uint64 `json:"seed"`
	// Seconds is how long requests are sent. The run then waits for the answers
	// of requests in flight.
	Seconds float64 `json:"seconds"`
	// Skew is the share of requests, from 0 to 1, that goes to the first target.
	// The rest is spread evenly over all targets, including the first.
	Skew     float64   `json:"skew,omitempty"`
	Accounts []Account `json:"accounts"`
}

// Account is the load of one client account.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is the mean number of requests per second, whose arrivals are a Poisson
	// process. Each request asks for a random one of Models. If Rate is 0, only
	// IdleModels are asked for.
	Rate   float64  `json:"rate"`
	Models []string `json:"models"`
	// IdleModels are asked for once each, evenly spread over the run, to measure
	// cold starts.
	IdleModels []string `json:"idle-models,omitempty"`
	// Burst sends the request for an idle model to all targets at the same time
	// instead of to one.
	Burst bool `json:"burst,omitempty"`
	// PromptBytes is the size of each prompt, 0 for the default of 200.
	PromptBytes int `json:"prompt-bytes"`
	// MaxTokens limits the output tokens of each request, 0 for the default of 64.
	MaxTokens int `json:"max-tokens"`
	// Priority is the value of the header Priority, which is left out if empty.
	Priority string `json:"priority,omitempty"`
	// TimeoutSeconds is sent as the deadline of each request, 0 for the default of
	// 30 s.
	TimeoutSeconds float64 `json:"timeout-seconds,omitempty"`
	// LimitRate (tokens per second) and LimitBurst (tokens) are the account's
	// limit. With them the report counts refusals of requests within the limit; if
	// LimitRate is 0, it does not.
	LimitRate  float64 `json:"limit-rate,omitempty"`
	LimitBurst float64 `json:"limit-burst,omitempty"`
}

// ReadProfile reads and validates a profile. The file is JSON with comments and
// trailing commas; unknown fields are errors.
func ReadProfile(path string) (Profile, error) {
	var p Profile
	data, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return p, fmt.Errorf("parse load profile %s: %w", path, err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return p, fmt.Errorf("decode load profile %s: %w", path, err)
	}
	return p, p.Validate()
}

// Validate returns an error that describes the first missing or invalid field, or nil.
// It does not check whether accounts and models exist.
func (p Profile) Validate() error {
	switch {
	case len(p.Targets) == 0:
		return fmt.Errorf("profile: targets must not be empty")
	case p.Seconds <= 0:
		return fmt.Errorf("profile: seconds must be positive, not %v", p.Seconds)
	case p.Skew < 0 || p.Skew > 1:
		return fmt.Errorf("profile: skew must be from 0 to 1, not %v", p.Skew)
	case len(p.Accounts) == 0:
		return fmt.Errorf("profile: accounts must not be empty")
	}
	for _, a := range p.Accounts {
		if a.Rate > 0 && len(a.Models) == 0 {
			return fmt.Errorf("profile: account %q has a rate but no models", a.Name)
		}
	}
	return nil
}

// duration returns Seconds, the time during which requests are sent.
func (p Profile) duration() time.Duration {
	return time.Duration(p.Seconds * float64(time.Second))
}
