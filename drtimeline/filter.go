package drtimeline

import (
	"slices"
	"time"
)

// Filter selects events that match all of its fields. A zero field matches every
// event.
type Filter struct {
	RequestID string
	Account   string
	Model     string
	// From (inclusive) and To (exclusive) bound the wall clock part of an event's
	// stamp.
	From, To time.Time
}

// Match reports whether the filter selects the event.
func (f Filter) Match(event Event) bool {
	wallTime := event.Stamp.Time()
	switch {
	case f.RequestID != "" && f.RequestID != event.RequestID:
		return false
	case f.Account != "" && f.Account != event.Account:
		return false
	case f.Model != "" && f.Model != event.Model:
		return false
	case !f.From.IsZero() && wallTime.Before(f.From):
		return false
	case !f.To.IsZero() && !wallTime.Before(f.To):
		return false
	}
	return true
}

// Merge returns the events of all lists that the filter selects, sorted by stamp.
// Events with equal stamps are sorted by VM, so that the result does not depend on
// the order of the lists.
func Merge(filter Filter, lists ...[]Event) []Event {
	var merged []Event
	for _, events := range lists {
		for _, e := range events {
			if filter.Match(e) {
				merged = append(merged, e)
			}
		}
	}
	slices.SortStableFunc(merged, func(a, b Event) int {
		switch {
		case a.Stamp < b.Stamp:
			return -1
		case a.Stamp > b.Stamp:
			return 1
		case a.VM < b.VM:
			return -1
		case a.VM > b.VM:
			return 1
		default:
			return 0
		}
	})
	return merged
}
