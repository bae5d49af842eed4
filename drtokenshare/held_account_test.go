package drtokenshare

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drconfig"
	"github.com/dotterelridge/dotterelridge/drlog"
	"github.com/dotterelridge/dotterelridge/drmember"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Guards against a new holder that refills a share while loans of the previous holder
// are still in use: both together would exceed the burst.
func TestNewShareWaitsForOldLoans(t *testing.T) {
	is := is.New(t)
	var e heldAccount
	is.Equal(e.update(2, epoch), 0)
	is.Equal(e.update(2, epoch.Add(loanLifetime)), 0)
	now := epoch.Add(loanLifetime + loanMargin)
	is.Equal(e.update(2, now), 2)
	is.Equal(e.update(3, now), 2)
	is.Equal(e.update(1, now), 1) // a lost share is inactive at once
}

// Guards against refusals right after an account was added to the configuration, when
// no VM has ever lent its tokens, and against a second full burst for a later holder.
func TestOnlyTheFirstHolderStartsFull(t *testing.T) {
	is := is.New(t)
	shares := NewShares()
	applyChanges := func(offset, basedOn uint64, vm string, release bool) {
		var e drpb.ShareEntry
		for s := range uint32(ShareCount) {
			e.Changes = append(e.Changes, &drpb.ShareChange{Account: "a", Share: s, Vm: vm, BasedOn: basedOn, Release: release})
		}
		b, err := proto.Marshal(&e)
		is.NoErr(err)
		shares.Apply(drlog.Record{Offset: offset, Data: b})
	}
	limits := fixedLimits{"a": {Rate: 1, Burst: 800}}
	newHolder := func(vm string) *Holder {
		return NewHolder(HolderConfig{
			Clock: drclock.NewFake(epoch), View: selfView{vm: vm}, Shares: shares, Limits: limits, Recorder: drtimeline.Discard{},
		})
	}
	holderX, holderY := newHolder("x"), newHolder("y")
	applyChanges(1, 0, "x", false)
	is.Equal(holderX.borrow("a", 800).GetTokens(), 800.0)
	applyChanges(2, 1, "x", true)
	is.Equal(holderX.borrow("a", 800).GetTokens(), 0.0)
	applyChanges(3, 2, "y", false)
	is.Equal(holderY.borrow("a", 800).GetTokens(), 0.0)
	applyChanges(4, 3, "x", false)
	is.Equal(holderX.borrow("a", 800).GetTokens(), 0.0)
}

// fixedLimits is an implementation of Limits that never changes.
type fixedLimits map[string]drconfig.Limit

func (f fixedLimits) Limit(account string) (drconfig.Limit, bool) {
	l, ok := f[account]
	return l, ok
}

func (f fixedLimits) Accounts() []string { return slices.Sorted(maps.Keys(f)) }

// selfView is a fleet view that knows only the VM itself. Its other methods panic.
type selfView struct {
	drmember.View
	vm string
}

func (v selfView) Self() drmember.Member { return drmember.Member{VM: v.vm} }
