package drtokenshare

// Meter takes measurements of an entry VM's borrowing. Its methods must not
// block.
type Meter interface {
	// Borrowed counts tokens that a holder lent, Returned those given back
	// unused.
	Borrowed(account string, tokens float64)
	Returned(account string, tokens float64)
	// RefusedInRate counts a refusal with OverRate although the holders
	// together had the tokens, by their last reports and the refill since.
	RefusedInRate(account string)
}

// noMeter drops measurements.
type noMeter struct{}

func (noMeter) Borrowed(string, float64) {}
func (noMeter) Returned(string, float64) {}
func (noMeter) RefusedInRate(string)     {}
