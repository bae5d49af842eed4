package drscheduler

//go:generate stringer -type=Reason -linecomment

// Reason is why a model is loaded.
type Reason int

// Reasons of a Swap.
const (
	// Wanted means that requests wait for the model.
	Wanted Reason = iota // wanted
	// Busy means that the model's replicas have too much work, or that it has only
	// one although many use it.
	Busy // busy
	// Spread means that the runner was empty, so that it relieves the model's other
	// replicas.
	Spread // spread
	// Queued means that requests queue at the model's replicas, or soon will at the
	// only one.
	Queued // queued
	// Relocated means that only runners in availability zones out of service hold the
	// model.
	Relocated // relocated
	// Limited means that requests wait for the model although runners hold it, because
	// these take few requests.
	Limited // limited
	// AtVersion means that one runner alone holds the model at its software version.
	AtVersion // at-version
)
