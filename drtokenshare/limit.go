// Package drtokenshare enforces the token rate and burst of each client account
// over all entry VMs together. A limit is split into shares, and the log records
// which VM holds which share. The holder of a share refills its tokens and lends
// them to the VMs where requests arrive. Tokens are debited at the sender before
// they are credited at the receiver: a lost message loses tokens and never
// duplicates them.
package drtokenshare

import (
	"context"
	"time"

	"github.com/dotterelridge/dotterelridge/drconfig"
)

// Constants of the protocol. All VMs must agree on ShareCount.
const (
	// ShareCount is the number of shares of each account's limit. 8 spreads
	// the load over holders, and the loss of one holder during a log outage
	// costs an eighth of the rate.
	ShareCount = 8
	// loanLifetime is how long a borrower may use a loan, counted from the time
	// when it sent the borrow request.
	loanLifetime = time.Second
	// loanMargin is how much longer the holder regards a loan as in use, because
	// the clocks of holder and borrower may run at different speeds.
	loanMargin = 250 * time.Millisecond
	// refundLifetime is how long after lending them a holder accepts the refund
	// of tokens. A request that takes longer loses the tokens that it reserved
	// and did not use.
	refundLifetime = 2 * time.Minute
	// maxWait bounds the time that a request waits for tokens. A request with a
	// deadline waits for at most 1/waitDivisor of the time left.
	maxWait     = 2 * time.Second
	waitDivisor = 10
	// maxNoReplyWait bounds the wait while no holder answers, together with
	// 1/noReplyWaitDivisor of the time left. It is longer than maxWait because
	// nothing shows then that the account is over its rate, and partitions often
	// heal within seconds.
	maxNoReplyWait     = 8 * time.Second
	noReplyWaitDivisor = 2
	// demandSpan is the time for which a VM borrows its expected demand in
	// advance.
	demandSpan = 250 * time.Millisecond
	// idleLoanAge is the age at which loans are returned if no request waits.
	idleLoanAge = 500 * time.Millisecond
	// reportInterval is the time between a borrower's reports of used, unused and
	// refunded tokens.
	reportInterval = 200 * time.Millisecond
	// hedgeAfter is how long a borrow request may be unanswered before other
	// holders are asked for the same tokens. It is far longer than a round trip.
	hedgeAfter = 20 * time.Millisecond
	// callTimeout bounds each call to a holder.
	callTimeout = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the time between borrow requests to a
	// holder without tokens. It doubles with each request that yields less than
	// half of the tokens, to keep the number of messages low.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// minPoll and maxPoll bound the time until a VM checks again which holders
	// to ask while requests wait.
	minPoll = 5 * time.Millisecond
	maxPoll = 100 * time.Millisecond
	// acquireInterval is the time between a holder's checks for shares that no
	// VM holds.
	acquireInterval = time.Second
	// epsilon is the tolerance, in tokens, for rounding errors in sums, in the
	// holder's favour. Loans of no more than this are not made.
	epsilon = 1e-6
)

// Names of the RPC methods between VMs.
const (
	methodBorrow = "Borrow"
	methodReturn = "Return"
)

// Limits gives access to the token limits of the current configuration. It must be
// safe for concurrent use.
type Limits interface {
	// Limit returns the limit of an account, or false if the account has none.
	Limit(account string) (drconfig.Limit, bool)
	// Accounts returns the accounts that have a limit, sorted.
	Accounts() []string
}

// Journal appends to the stream "shares" and applies its records to Shares.
type Journal interface {
	// Append writes one record and returns its offset.
	Append(ctx context.Context, entry []byte) (uint64, error)
	// WaitFor blocks until the record at offset has been applied, or ctx ends.
	WaitFor(ctx context.Context, offset uint64) error
}
