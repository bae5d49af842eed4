package drtokenpool

//go:generate stringer -type=Basis -linecomment

// Basis says which rule admitted or refused a request.
type Basis int

// ByNoLimit admits requests of accounts without limit, ByGrant spends tokens that
// the controller granted in advance, ByController is the controller's answer to
// this request, ByRepeatedRefusal reuses its recent refusal, BySaturation refuses
// without asking because few tokens of the account are left, ByShare uses the local bucket
// while no controller answers, ByFirstComers is the controller's refusal of a request that it
// refused shortly before, because others leave too few tokens, and ByExpiredShare refuses because
// a controller leads that has not replied for so long that it may give this VM's share to others.
const (
	ByNoLimit         Basis = iota // no-limit
	ByGrant                        // grant
	ByController                   // controller
	ByRepeatedRefusal              // repeated-refusal
	BySaturation                   // saturated
	ByShare                        // share-without-controller
	ByFirstComers                  // first-comers
	ByExpiredShare                 // share-expired
)
