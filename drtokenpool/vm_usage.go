package drtokenpool

import "time"

const (
	// rateWindow is the averaging time of the VM's rate that sizes its grants.
	rateWindow = time.Second
	// shareWindow is the averaging time of the spending that determines a VM's
	// fraction of an account. It is longer than rateWindow because a VM of a
	// large fleet gets less than one request of an account per second.
	// evenSplitFraction of the account is divided evenly among its VMs; only the
	// rest follows their spending.
	shareWindow       = 8 * time.Second
	evenSplitFraction = 0.5
	// maxSilentTime is how long a VM that does not report may go on spending its
	// fraction of the rate. After that it refuses requests because it can no
	// longer confirm its configuration, or it has been removed by Forget.
	maxSilentTime = 6 * time.Second
)

// vmUsage is one VM's use of an account.
type vmUsage struct {
	granted, spent float64 // since the VM's process started
	requested      float64 // since the VM's process started, refused requests included
	unasked        float64 // since the VM's process started, see Spending
	// requestedRate and unaskedRate are in tokens per second, averaged over
	// rateWindow.
	requestedRate, unaskedRate float64
	shareRate                  float64 // tokens per second, averaged over shareWindow
	reportedAt                 time.Time
	// share is the fraction of the account that the VM was last told to use
	// while no controller answers.
	share float64
	// reserved is the number of tokens set aside for what the VM may have spent
	// without reporting it, up to reservedUntil.
	reserved      float64
	reservedUntil time.Time
}

// reserveWhileSilent returns the tokens to set aside, besides those of earlier
// calls, for what a VM that does not report may have spent up to now: its share of
// the rate and, the first time after its last report, its share of poolLevel.
// Nothing is set aside for the first controllerTimeout after that report, nor for
// the time later than maxSilentTime after it.
func (u *vmUsage) reserveWhileSilent(rate, poolLevel float64, now time.Time) float64 {
	from := u.reportedAt.Add(controllerTimeout)
	if u.reservedUntil.After(from) {
		from = u.reservedUntil
	}
	until := now
	if end := u.reportedAt.Add(maxSilentTime); until.After(end) {
		until = end
	}
	if !until.After(from) {
		return 0
	}
	tokens := until.Sub(from).Seconds() * rate * u.share
	if u.reservedUntil.Before(u.reportedAt) {
		tokens += poolLevel * u.share
	}
	u.reserved += tokens
	u.reservedUntil = until
	return tokens
}

// reserveEvenPart does what reserveWhileSilent does for a VM that was told no share,
// because nothing had been spent of the account. It spends an even part of the rate, and
// at first as much as that yields in initialBurstTime.
func (u *vmUsage) reserveEvenPart(rate float64, now time.Time) float64 {
	first := u.reservedUntil.Before(u.reportedAt)
	even := vmUsage{share: 1, reportedAt: u.reportedAt, reservedUntil: u.reservedUntil}
	tokens := even.reserveWhileSilent(rate, 0, now)
	if first && tokens > 0 {
		tokens += rate * initialBurstTime.Seconds()
	}
	u.reserved += tokens
	u.reservedUntil = even.reservedUntil
	return tokens
}

// settle raises the grant to cover what the VM spent beyond it and returns the
// tokens to deduct from the account: that excess less the tokens already set
// aside. The result is negative if too many were set aside.
func (u *vmUsage) settle(spent float64) float64 {
	excess := max(spent-u.granted, 0)
	u.granted += excess
	owed := excess - u.reserved
	u.reserved = 0
	return owed
}

// share returns the fraction of the account that a VM may use while no controller
// answers: partly by its recent spending, partly an even split among the VMs that
// report. It is 0 while nothing has been spent.
func (a *account) share(u *vmUsage) float64 {
	total := 0.0
	for _, other := range a.vms {
		total += other.shareRate
	}
	if total <= 0 {
		return 0
	}
	return (1-evenSplitFraction)*u.shareRate/total + evenSplitFraction/float64(len(a.vms))
}

// usage returns the state of a VM. A VM that is not known yet starts with the
// totals that it reports.
func (a *account) usage(vm string, s Spending, now time.Time) *vmUsage {
	u, ok := a.vms[vm]
	if !ok {
		u = &vmUsage{granted: s.Granted, spent: s.Spent, requested: s.Requested, unasked: s.Unasked, reportedAt: now}
		a.vms[vm] = u
	}
	return u
}

// updateRates records the VM's new totals and updates the averages of their rates. It
// does nothing if no time has passed since the last report.
func (u *vmUsage) updateRates(s Spending, now time.Time) {
	elapsed := now.Sub(u.reportedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	u.requestedRate += min(elapsed/rateWindow.Seconds(), 1) * ((s.Requested-u.requested)/elapsed - u.requestedRate)
	u.unaskedRate += min(elapsed/rateWindow.Seconds(), 1) * ((s.Unasked-u.unasked)/elapsed - u.unaskedRate)
	u.shareRate += min(elapsed/shareWindow.Seconds(), 1) * ((s.Spent-u.spent)/elapsed - u.shareRate)
	u.spent, u.requested, u.unasked, u.reportedAt = s.Spent, s.Requested, s.Unasked, now
}
