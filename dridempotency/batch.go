package dridempotency

import "github.com/dotterelridge/dotterelridge/drpb"

// batch collects entries that are appended to the log as one record. err may
// be read once done is closed; nil means that the record was appended and
// applied to this VM's Partition.
type batch struct {
	entry drpb.OnceEntry
	size  int
	// done is closed after the append has succeeded or failed.
	done chan struct{}
	err  error
}

func (b *batch) add(entry *drpb.OnceEntry) {
	b.entry.Intents = append(b.entry.Intents, entry.GetIntents()...)
	b.entry.Outcomes = append(b.entry.Outcomes, entry.GetOutcomes()...)
	b.entry.Abandons = append(b.entry.Abandons, entry.GetAbandons()...)
	b.size++
}
