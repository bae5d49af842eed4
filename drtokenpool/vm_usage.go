package drtokenpool

import "time"

const (
	// rateWindow is the averaging time of the VM's rate that sizes its grants.
	rateWindow = time.Second
	// shareWindow is the averaging time of the spending that determines a VM's
	// fraction of an account. It is longer than rateWindow because a VM of a
	// large fleet gets less than one request of an account per second.
	// evenSplitFraction of the account is divided evenly among its VMs; only the
	// rest follows their spending. minShareFraction of an even part is what each
	// VM gets at least, also while the others hold the whole account.
	shareWindow       = 8 * time.Second
	evenSplitFraction = 0.5
	minShareFraction  = 0.05
	// maxSilentTime is how long a VM that does not report may go on spending its
	// fraction of the rate. After that it refuses requests because it can no
	// longer confirm its configuration or has not heard of this controller
	// (maxUnheardTime), or it has been removed by Forget.
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
	// while no controller answers, and formerShare the one that it had before. It
	// uses that one if the reply was lost.
	share, formerShare float64
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
	tokens := until.Sub(from).Seconds() * rate * u.largestShare()
	if u.reservedUntil.Before(u.reportedAt) {
		tokens += poolLevel * u.largestShare()
	}
	u.reserved += tokens
	u.reservedUntil = until
	return tokens
}

// largestShare returns the largest fraction of the account that the VM may be using.
func (u *vmUsage) largestShare() float64 { return max(u.share, u.formerShare) }

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

// updateShare sets the fraction of the account that a VM may use while no controller
// answers: partly by its recent spending, partly an even split among the VMs. held is the
// one that it uses now, 0 if none. A VM gets no more than the others leave, so that the
// sum stays within the whole but for minShareFraction. While some VMs have not reported to
// this controller, which doesn't know their shares, the others keep theirs.
func (a *account) updateShare(u *vmUsage, held float64, now time.Time) {
	u.formerShare = held
	total, room := 0.0, 1.0
	for _, other := range a.vms {
		total += other.shareRate
		if other != u {
			room -= other.largestShare()
		}
	}
	absent := a.absentVMs(now)
	even := 1 / float64(len(a.vms)+absent)
	wanted := even
	switch {
	case absent > 0 && held > 0:
		wanted = held
	case total > 0:
		wanted = (1-evenSplitFraction)*u.shareRate/total + evenSplitFraction*even
	}
	u.share = max(min(wanted, room), even*minShareFraction)
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
