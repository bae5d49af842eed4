package drserve

import (
	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drplacement"
)

// Status implements dradmin.Backend. It shows this VM's view of the members, runners,
// models and limits.
func (b adminBackend) Status() dradmin.Status {
	v := b.vm
	ready, reason := b.Ready()
	status := dradmin.Status{
		VM: v.Settings.VM, Zone: v.Settings.Zone, Version: v.Version, Ready: ready, Reason: reason,
		Freshness: v.freshness.State().String(), ConfigOffset: v.config.Offset(), PlacementOffset: v.ledger.Offset(),
		Queues: v.queues.status(),
	}
	for _, m := range v.members.Members() {
		status.Members = append(status.Members, dradmin.MemberStatus{VM: m.VM, Zone: m.Zone, State: m.State.String()})
	}
	owned := make(map[string]drplacement.OwnedRunner)
	for _, r := range v.placement.Owned() {
		owned[r.Runner] = r
	}
	for _, r := range v.ledger.Runners() {
		owner, own := v.ledger.Owner(r), owned[r]
		status.Runners = append(status.Runners, dradmin.RunnerStatus{
			Runner: r, Owner: owner.VM, Fence: owner.Fence,
			MemoryBytes: own.MemoryBytes, UsedBytes: own.ReservedBytes, Loaded: own.Loaded,
		})
	}
	c := v.config.Current()
	for _, m := range c.Models() {
		decided, _ := v.ledger.Decided(m.Name)
		ms := dradmin.ModelStatus{Model: m.Name, Decided: decided}
		for _, r := range v.ledger.Rights(m.Name) {
			ms.Rights = append(ms.Rights, r.Runner)
		}
		status.Models = append(status.Models, ms)
	}
	for _, a := range c.Accounts() {
		if l, ok := c.Limit(a.Name); ok {
			status.Limits = append(status.Limits, dradmin.LimitStatus{Account: a.Name, Rate: l.Rate, Burst: l.Burst, Shares: v.shares.HeldBy(a.Name, v.Settings.VM)})
		}
	}
	return status
}
