package drtokenshare

//go:generate stringer -type=Policy -linecomment

// Policy says how an account's limit is divided among entry VMs.
type Policy int

// The policies of a Limiter.
const (
	// Lending lets VMs borrow tokens from the holders of an account's shares, so
	// that tokens move to where the requests arrive.
	Lending Policy = iota // lending
	// EqualShares gives every VM the same fixed part of the limit. It is the
	// baseline that Lending is compared with.
	EqualShares // equal-shares
)
