// Package drload generates open-loop load against entry VMs and reports
// latencies, refusals and how each client account was served.
package drload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// Profile describes a run.
type Profile struct {
	// Targets are callers' addresses, such as "127.0.0.1:8080".
	Targets []string `json:"targets"`
	// Seed makes arrivals, models and targets repeatable.
	Seed uint64 `json:"seed"`
	// Seconds is how long requests are sent; running ones are then awaited.
	Seconds float64 `json:"seconds"`
	// Skew is the part of requests sent to the first target; the rest is
	// spread evenly over all targets.
	Skew     float64   `json:"skew,omitempty"`
	Accounts []Account `json:"accounts"`
}

// Account is the load of one client account.
type Account struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Rate is in requests per second; arrivals are a Poisson process.
	Rate   float64  `json:"rate"`
	Models []string `json:"models"`
	// IdleModels are asked once each, spread over the run, to measure cold
	// starts.
	IdleModels []string `json:"idle-models,omitempty"`
	// Burst asks for each idle model at all targets at the same time.
	Burst       bool   `json:"burst,omitempty"`
	PromptBytes int    `json:"prompt-bytes"`
	MaxTokens   int    `json:"max-tokens"`
	Priority    string `json:"priority,omitempty"`
	// TimeoutSeconds is sent as the request's deadline.
	TimeoutSeconds float64 `json:"timeout-seconds,omitempty"`
	// LimitRate and LimitBurst are the account's limit in tokens; with them
	// the report tells refusals inside the rate from those outside.
	LimitRate  float64 `json:"limit-rate,omitempty"`
	LimitBurst float64 `json:"limit-burst,omitempty"`
}

// ReadProfile reads a profile from a file in JSON with comments.
func ReadProfile(path string) (Profile, error) {
	var p Profile
	data, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, p.Validate()
}

// Validate returns an error that names what is missing.
func (p Profile) Validate() error {
	switch {
	case len(p.Targets) == 0:
		return fmt.Errorf("profile names no targets")
	case p.Seconds <= 0:
		return fmt.Errorf("profile: seconds must be positive, not %v", p.Seconds)
	case p.Skew < 0 || p.Skew > 1:
		return fmt.Errorf("profile: skew must be from 0 to 1, not %v", p.Skew)
	case len(p.Accounts) == 0:
		return fmt.Errorf("profile names no accounts")
	}
	for _, a := range p.Accounts {
		if a.Rate > 0 && len(a.Models) == 0 {
			return fmt.Errorf("profile: account %q has a rate but no models", a.Name)
		}
	}
	return nil
}

// duration returns the length of the sending phase.
func (p Profile) duration() time.Duration {
	return time.Duration(p.Seconds * float64(time.Second))
}
