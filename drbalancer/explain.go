package drbalancer

import (
	"cmp"
	"math"
	"slices"
)

// Weighed is a candidate with what the choice weighs of it.
type Weighed struct {
	Candidate
	// Probability is how often the choice falls on the candidate, 0 to 1.
	Probability float64
}

// Weigh returns the candidates in the order of their expected delay, with the
// probabilities with which Choose takes them for an engine. It returns nil if the request
// states no slots, because the choice then follows other rules.
func Weigh(request Request, candidates []Candidate) []Weighed {
	if !request.Engine || request.Slots == 0 || len(candidates) == 0 {
		return nil
	}
	request.weigh(candidates)
	least := slices.MinFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Estimate.Delay(), b.Estimate.Delay()) })
	spread := float64(loadUncertainty(candidates))
	total := 0.0
	list := make([]Weighed, 0, len(candidates))
	for _, c := range candidates {
		weight := math.Exp(-float64(c.Estimate.Delay()-least.Estimate.Delay()) / spread)
		total += weight
		list = append(list, Weighed{c, weight})
	}
	for i := range list {
		list[i].Probability /= total
	}
	slices.SortStableFunc(list, func(a, b Weighed) int { return cmp.Compare(a.Estimate.Delay(), b.Estimate.Delay()) })
	return list
}
