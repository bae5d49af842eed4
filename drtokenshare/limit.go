// Package drtokenshare enforces the token rate and burst of each client account
// over all entry VMs together. A limit is split into shares, which VMs hold
// through the log. Tokens move only by debit before credit: a lost message
// loses tokens and never duplicates them.
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
	// loanLifetime is how long a borrower may use a loan, from the time when
	// it sent the request.
	loanLifetime = time.Second
	// loanMargin allows for clocks that run at different speeds.
	loanMargin = 250 * time.Millisecond
	// refundLifetime is how long a holder takes unused tokens back. Longer
	// requests lose what they reserved and did not use.
	refundLifetime = 2 * time.Minute
	// maxWait bounds the wait for tokens, with waitFraction of the time left.
	maxWait     = 2 * time.Second
	waitDivisor = 10
	// maxNoReplyWait bounds the wait, with silentFraction of the time left, while no
	// holder answers: then nothing says that the account is over its rate, and
	// partitions often heal within seconds.
	maxNoReplyWait     = 8 * time.Second
	noReplyWaitDivisor = 2
	// demandSpan is the demand that one borrow request covers in advance.
	demandSpan = 250 * time.Millisecond
	// idleLoanAge is the age at which tokens that no request needs are returned.
	idleLoanAge = 500 * time.Millisecond
	// reportInterval is the time between reports of used tokens.
	reportInterval = 200 * time.Millisecond
	// hedgeAfter is how long one unanswered borrow request keeps the tokens
	// from being asked of other holders. It is far above a round trip.
	hedgeAfter = 20 * time.Millisecond
	// callTimeout bounds calls to holders.
	callTimeout = 250 * time.Millisecond
	// Pauses between requests to a holder that has no tokens; the pause
	// doubles with each refusal to keep the number of messages low.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// minPoll and maxPoll bound the wait before holders are looked at again.
	minPoll = 5 * time.Millisecond
	maxPoll = 100 * time.Millisecond
	// acquireInterval is the time between checks for shares without holder.
	acquireInterval = time.Second
	// epsilon absorbs rounding of sums of tokens, in the holder's favour.
	epsilon = 1e-6
)

// Methods of calls between VMs.
const (
	methodBorrow = "Borrow"
	methodReturn = "Return"
)

// Limits is the part of the configuration that the package needs.
type Limits interface {
	// Limit returns the limit of an account, false if it has none.
	Limit(account string) (drconfig.Limit, bool)
	// Accounts returns the accounts that have a limit, sorted.
	Accounts() []string
}

// Journal appends to the stream "shares" and follows it into Shares.
type Journal interface {
	// Append adds one record and returns its offset.
	Append(ctx context.Context, entry []byte) (uint64, error)
	// WaitFor blocks until the record at offset has been folded.
	WaitFor(ctx context.Context, offset uint64) error
}
