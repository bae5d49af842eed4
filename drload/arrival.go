package drload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is one request to be sent.
type arrival struct {
	at      time.Duration // since the start of the run
	account int
	target  int
	model   string
	cold    bool
	number  int
}

// plan returns all arrivals of a profile in order of time. Equal profiles give
// equal plans.
func plan(p Profile) []arrival {
	var as []arrival
	for i, a := range p.Accounts {
		r := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		as = append(as, poisson(p, i, a, r)...)
		for n, m := range a.IdleModels {
			at := p.duration() * time.Duration(2*n+1) / time.Duration(2*len(a.IdleModels))
			targets := []int{pickTarget(p, r)}
			if a.Burst {
				targets = targets[:0]
				for t := range p.Targets {
					targets = append(targets, t)
				}
			}
			for _, t := range targets {
				as = append(as, arrival{at: at, account: i, target: t, model: m, cold: true})
			}
		}
	}
	slices.SortStableFunc(as, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range as {
		as[i].number = i
	}
	return as
}

func poisson(p Profile, i int, a Account, r *rand.Rand) []arrival {
	var as []arrival
	if a.Rate <= 0 {
		return nil
	}
	gap := float64(time.Second) / a.Rate
	for at := time.Duration(r.ExpFloat64() * gap); at < p.duration(); at += time.Duration(r.ExpFloat64() * gap) {
		as = append(as, arrival{at: at, account: i, target: pickTarget(p, r), model: a.Models[r.IntN(len(a.Models))]})
	}
	return as
}

func pickTarget(p Profile, r *rand.Rand) int {
	if r.Float64() < p.Skew {
		return 0
	}
	return r.IntN(len(p.Targets))
}
