package drbalancer

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelridge/dotterelridge/drprompt"
)

// minLongShare is the share of long prompts in the tokens that engines read from which on
// they are kept apart.
const minLongShare = 0.05

// places are the engines that all VMs agree on for a kind of prompt, without messages.
type places struct {
	// preferred is the runner ID of the engine for prompts with the request's anchor,
	// "" if it has none.
	preferred string
	// long holds the runner IDs of the engines that read the long prompts, so that the
	// short ones do not wait behind them. It is empty if they are not kept apart.
	long map[string]bool
}

// placesFor returns the places among the candidates. Those for long prompts are the first
// by a hash of the runner alone, which makes them the same for all models.
func (r Request) placesFor(candidates []Candidate) places {
	var p places
	all := candidates
	if n := longPlaces(r.LongShare, len(candidates)); n > 0 {
		order := slices.Clone(candidates)
		slices.SortFunc(order, func(a, b Candidate) int {
			return cmp.Compare(xxhash.Sum64String(a.Runner.ID), xxhash.Sum64String(b.Runner.ID))
		})
		p.long = make(map[string]bool, n)
		for i := range order[:n] {
			p.long[order[i].Runner.ID] = true
		}
		if drprompt.Long(r.promptTokens()) {
			all = order[:n]
		}
	}
	if anchor := r.Prompt.Anchor(); anchor.Tokens > 0 {
		p.preferred = preferredRunner(strconv.FormatUint(anchor.Key, 16), all)
	}
	return p
}

// longPlaces returns how many of the candidates read the long prompts, 0 if all do: as
// many as read their share of the tokens.
func longPlaces(share float64, candidates int) int {
	if share < minLongShare || candidates < 2 {
		return 0
	}
	n := max(int(math.Round(share*float64(candidates))), 1)
	if n == candidates {
		return 0
	}
	return n
}
