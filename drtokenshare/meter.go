package drtokenshare

// Meter counts what an entry VM borrows and refuses. Its methods may be called with
// locks held and from several goroutines: they must not block and must be safe for
// concurrent use.
type Meter interface {
	// Borrowed counts tokens that a holder lent to this VM.
	Borrowed(account string, tokens float64)
	// Returned counts tokens that this VM gave back to holders unused.
	Returned(account string, tokens float64)
	// RefusedInRate counts a refusal with reason OverRate although this VM and the
	// holders together had the tokens, by the holders' last replies and the refill
	// since.
	RefusedInRate(account string)
}

// noMeter is a Meter that counts nothing.
type noMeter struct{}

func (noMeter) Borrowed(string, float64) {}
func (noMeter) Returned(string, float64) {}
func (noMeter) RefusedInRate(string)     {}
