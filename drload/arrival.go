package drload

import (
	"math/rand/v2"
	"slices"
	"time"
)

// arrival is a planned request.
type arrival struct {
	sinceStart time.Duration // time of sending, from the start of the run
	account    int           // index in Profile.Accounts
	target     int           // index in Profile.Targets
	model      string
	coldStart  bool // asks for one of Account.IdleModels
	number     int  // position in the plan, which makes prompts differ
}

// planArrivals returns all arrivals of a valid profile in the order of sending. Equal
// profiles give equal plans, so that runs can be compared.
func planArrivals(profile Profile) []arrival {
	var arrivals []arrival
	for i, a := range profile.Accounts {
		random := rand.New(rand.NewPCG(profile.Seed, uint64(i)))
		arrivals = append(arrivals, poissonArrivals(profile, i, a, random)...)
		for n, m := range a.IdleModels {
			at := profile.duration() * time.Duration(2*n+1) / time.Duration(2*len(a.IdleModels))
			targets := []int{pickTarget(profile, random)}
			if a.Burst {
				targets = targets[:0]
				for t := range profile.Targets {
					targets = append(targets, t)
				}
			}
			for _, t := range targets {
				arrivals = append(arrivals, arrival{sinceStart: at, account: i, target: t, model: m, coldStart: true})
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return int(a.sinceStart - b.sinceStart) })
	for i := range arrivals {
		arrivals[i].number = i
	}
	return arrivals
}

// poissonArrivals returns the arrivals of one account for its Models: a Poisson process
// with the account's rate, in the order of sending.
func poissonArrivals(profile Profile, accountIndex int, account Account, random *rand.Rand) []arrival {
	var arrivals []arrival
	if account.Rate <= 0 {
		return nil
	}
	meanGap := float64(time.Second) / account.Rate
	for at := time.Duration(random.ExpFloat64() * meanGap); at < profile.duration(); at += time.Duration(random.ExpFloat64() * meanGap) {
		arrivals = append(arrivals, arrival{sinceStart: at, account: accountIndex, target: pickTarget(profile, random), model: account.Models[random.IntN(len(account.Models))]})
	}
	return arrivals
}

// pickTarget returns the first target with the probability Skew, and otherwise any
// target with equal probability.
func pickTarget(profile Profile, random *rand.Rand) int {
	if random.Float64() < profile.Skew {
		return 0
	}
	return random.IntN(len(profile.Targets))
}
