package dridempotency

import "github.com/dotterelridge/dotterelridge/drpb"

// batch is a number of entries that are appended as one record.
type batch struct {
	entry drpb.OnceEntry
	size  int
	// done is closed when err is set.
	done chan struct{}
	err  error
}

func (b *batch) add(entry *drpb.OnceEntry) {
	b.entry.Intents = append(b.entry.Intents, entry.GetIntents()...)
	b.entry.Outcomes = append(b.entry.Outcomes, entry.GetOutcomes()...)
	b.entry.Abandons = append(b.entry.Abandons, entry.GetAbandons()...)
	b.size++
}
