package drcontroller

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drcrash"
	"github.com/dotterelridge/dotterelridge/drfleet"
	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drrequest"
	"github.com/dotterelridge/dotterelridge/drscheduler"
	"github.com/dotterelridge/dotterelridge/drstore"
)

// Names of the methods that VMs call on the controller.
const (
	methodSync    = "fleet-sync"
	methodReserve = "fleet-reserve"
	methodCrash   = "fleet-crash"
	methodStream  = "fleet-stream"
)

// milliseconds converts a duration to milliseconds, clamped to fit an int32.
func milliseconds(d time.Duration) int32 {
	const limit = 1 << 30
	return int32(min(max(d.Milliseconds(), -limit), limit))
}

// millisecondsUp is milliseconds with d rounded up.
func millisecondsUp(d time.Duration) int32 { return milliseconds(d + time.Millisecond - 1) }

func encodeReplica(p drfleetview.Replica) *drpb.FleetReplica {
	return &drpb.FleetReplica{Service: p.Service, Model: p.Model, Adapter: p.Adapter, Zones: p.Zones.Names(), Version: p.Version}
}

func decodeReplica(m *drpb.FleetReplica) drfleetview.Replica {
	return drfleetview.Replica{
		Service: m.GetService(), Model: m.GetModel(), Adapter: m.GetAdapter(), Zones: decodeZones(m.GetZones()), Version: m.GetVersion(),
	}
}

// decodeZones returns the zones in which requests may be served. None mean all: requests
// that may be served nowhere are refused where they arrive.
func decodeZones(names []string) drfleet.Zones {
	if len(names) == 0 {
		return drfleet.Zones{}
	}
	return drfleet.ZonesOf(names...)
}

func encodeWants(ws []drfleetview.DemandSummary) []*drpb.FleetWant {
	var out []*drpb.FleetWant
	for _, w := range ws {
		out = append(out, &drpb.FleetWant{
			Replica: encodeReplica(w.Replica), Waiting: uint32(w.Waiting), ObjectiveLeftMs: milliseconds(w.ObjectiveLeft),
			DeadlineLeftMs: milliseconds(w.DeadlineLeft), Urgency: uint32(w.Urgency),
		})
	}
	return out
}

func decodeWant(m *drpb.FleetWant) (service string, backlog drscheduler.Backlog) {
	return m.GetReplica().GetService(), drscheduler.Backlog{
		Model: m.GetReplica().GetModel(), Adapter: m.GetReplica().GetAdapter(), Zones: decodeZones(m.GetReplica().GetZones()), Waiting: int(m.GetWaiting()),
		ObjectiveLeft: time.Duration(m.GetObjectiveLeftMs()) * time.Millisecond,
		DeadlineLeft:  time.Duration(m.GetDeadlineLeftMs()) * time.Millisecond, Urgency: int(m.GetUrgency()),
	}
}

func encodeUses(us []drfleetview.RunnerUse) []*drpb.FleetUse {
	var out []*drpb.FleetUse
	for _, u := range us {
		m := &drpb.FleetUse{Runner: u.Runner, Started: u.Started, Succeeded: u.Succeeded, Failed: u.Failed,
			RunningTokens: uint32(max(u.Tokens.Running, 0)), UnreadTokens: uint32(max(u.Tokens.Unread, 0))}
		for _, p := range u.Replicas {
			m.Replicas = append(m.Replicas, &drpb.FleetReplicaUse{
				Model: p.Replica.Model, Adapter: p.Replica.Adapter, Running: uint32(p.Running), Requests: p.Requests,
				Missing: p.Missing, Zones: p.Replica.Zones.Names(),
			})
		}
		out = append(out, m)
	}
	return out
}

// withoutIdentity leaves out of an encoded runner what the VM knows.
func withoutIdentity(m *drpb.FleetRunner) *drpb.FleetRunner {
	m.Service, m.Address, m.Zone, m.Slots, m.Version, m.Update = "", "", "", 0, "", true
	return m
}

func encodeRunner(c drfleetview.Change) *drpb.FleetRunner {
	r := c.Runner
	m := &drpb.FleetRunner{
		Id: r.ID, Service: r.Service, Address: r.Address, Zone: r.Zone, Version: r.Version, Started: r.Started, Slots: uint32(r.Slots),
		Draining: r.Draining, Orders: uint32(r.Orders), Gone: c.Gone, ColdMs: uint32(milliseconds(c.Cold)),
	}
	for _, p := range r.Replicas {
		m.Holdings = append(m.Holdings, &drpb.FleetHolding{Model: p.Model, Version: uint32(p.Version), Adapters: p.Adapters})
	}
	return m
}

func decodeRunner(m *drpb.FleetRunner) *drfleet.Runner {
	r := &drfleet.Runner{
		ID: m.GetId(), Service: m.GetService(), Address: m.GetAddress(), Zone: m.GetZone(), Version: m.GetVersion(), Started: m.GetStarted(),
		Slots: int(m.GetSlots()), Draining: m.GetDraining(), Orders: int(m.GetOrders()),
		Cold: time.Duration(m.GetColdMs()) * time.Millisecond,
	}
	for _, h := range m.GetHoldings() {
		r.Replicas = append(r.Replicas, drfleet.Replica{Model: h.GetModel(), Version: int(h.GetVersion()), Adapters: h.GetAdapters()})
	}
	return r
}

func encodePosition(p drstore.Position) *drpb.FleetPosition {
	return &drpb.FleetPosition{Era: p.Era, Next: p.Next}
}

// decodePosition returns the zero position for a message that is not set.
func decodePosition(m *drpb.FleetPosition) drstore.Position {
	return drstore.Position{Era: m.GetEra(), Next: m.GetNext(), Read: m != nil}
}

func encodeIncarnation(i drfleetview.Incarnation) *drpb.FleetIncarnation {
	return &drpb.FleetIncarnation{Runner: i.Runner, Started: i.Started}
}

func decodeIncarnation(m *drpb.FleetIncarnation) drfleetview.Incarnation {
	return drfleetview.Incarnation{Runner: m.GetRunner(), Started: m.GetStarted()}
}

func encodeCrashes(report drcrash.Report) *drpb.FleetCrashReport {
	m := &drpb.FleetCrashReport{
		Cleared: encodeFingerprints(report.Cleared), Refused: encodeFingerprints(report.Refused), Blocks: encodeBlocks(report.Blocks),
	}
	for _, c := range report.Crashes {
		m.Crashes = append(m.Crashes, &drpb.FleetCrash{Request: c.Request[:], Parts: encodeFingerprints(c.Parts), Runner: c.Runner})
	}
	return m
}

// decodeCrashes is the inverse of encodeCrashes.
func decodeCrashes(m *drpb.FleetCrashReport) drcrash.Report {
	report := drcrash.Report{
		Cleared: decodeFingerprints(m.GetCleared()), Refused: decodeFingerprints(m.GetRefused()), Blocks: decodeBlocks(m.GetBlocks()),
	}
	for _, c := range m.GetCrashes() {
		for _, f := range decodeFingerprints([][]byte{c.GetRequest()}) {
			identity := drcrash.Identity{Request: f, Parts: decodeFingerprints(c.GetParts())}
			report.Crashes = append(report.Crashes, drcrash.Crash{Identity: identity, Runner: c.GetRunner()})
		}
	}
	return report
}

func encodeVerdict(verdict drcrash.Verdict) *drpb.FleetVerdict {
	return &drpb.FleetVerdict{
		Revision: verdict.Revision, Blocks: encodeBlocks(verdict.Blocks), Suspects: encodeFingerprints(verdict.Suspects),
	}
}

// decodeVerdict returns the verdict of the controller with the given term.
func decodeVerdict(term uint64, m *drpb.FleetVerdict) drcrash.Verdict {
	return drcrash.Verdict{
		Term: term, Revision: m.GetRevision(), Blocks: decodeBlocks(m.GetBlocks()), Suspects: decodeFingerprints(m.GetSuspects()),
	}
}

func encodeBlocks(blocks []drcrash.Block) []*drpb.FleetBlock {
	var encoded []*drpb.FleetBlock
	for _, b := range blocks {
		encoded = append(encoded, &drpb.FleetBlock{
			Cause: b.Cause[:], LeftMs: uint32(milliseconds(b.Left)), SpanMs: uint32(milliseconds(b.Span)), Probe: b.Probe,
		})
	}
	return encoded
}

// decodeBlocks leaves out blocks whose fingerprint has another length.
func decodeBlocks(encoded []*drpb.FleetBlock) []drcrash.Block {
	var blocks []drcrash.Block
	for _, m := range encoded {
		for _, f := range decodeFingerprints([][]byte{m.GetCause()}) {
			blocks = append(blocks, drcrash.Block{
				Cause: f, Left: time.Duration(m.GetLeftMs()) * time.Millisecond, Span: time.Duration(m.GetSpanMs()) * time.Millisecond, Probe: m.GetProbe(),
			})
		}
	}
	return blocks
}

func encodeFingerprints(fingerprints []drrequest.Fingerprint) [][]byte {
	var encoded [][]byte
	for _, f := range fingerprints {
		encoded = append(encoded, f[:])
	}
	return encoded
}

// decodeFingerprints leaves out fingerprints of another length.
func decodeFingerprints(encoded [][]byte) []drrequest.Fingerprint {
	var fingerprints []drrequest.Fingerprint
	for _, e := range encoded {
		if len(e) == len(drrequest.Fingerprint{}) {
			fingerprints = append(fingerprints, drrequest.Fingerprint(e))
		}
	}
	return fingerprints
}
