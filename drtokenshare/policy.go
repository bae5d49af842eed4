package drtokenshare

//go:generate stringer -type=Policy -linecomment

// Policy says how an account's limit is spread over entry VMs.
type Policy int

// Policies.
const (
	// Lending moves tokens to where the requests arrive.
	Lending Policy = iota // lending
	// EqualShares gives every VM the same fixed part. It is the baseline.
	EqualShares // equal-shares
)
