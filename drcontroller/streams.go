package drcontroller

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/dotterelridge/dotterelridge/drfleetview"
	"github.com/dotterelridge/dotterelridge/drlease"
	"github.com/dotterelridge/dotterelridge/drpb"
	"github.com/dotterelridge/dotterelridge/drpeer"
	"github.com/dotterelridge/dotterelridge/drversion"
)

const (
	// maxToldStreams is how many streams one message names.
	maxToldStreams = 2000
	// streamTimeout is the timeout of one call about a stream.
	streamTimeout = 250 * time.Millisecond
	// settledAfter is how long after its start a controller has heard of the streams that VMs
	// told the former one.
	settledAfter = 2 * (maxSyncWait + syncReplyTimeout)
	// copyHolders is how many VMs keep a copy of the streams that the controller knows.
	copyHolders = 2
	// copyHolderTimeout is how long after its last report a VM still counts as keeping a copy.
	copyHolderTimeout = maxSyncWait + syncReplyTimeout
	// maxStoreSilence is the time since the last answer of the store within which a VM without a
	// controller still reaches it: it reads the lease more often.
	maxStoreSilence = time.Second
)

// toldStreams is the number up to which this VM has told the controller of a term which streams
// have begun.
type toldStreams struct {
	term   uint64
	number uint64
}

// fill adds to a report what the controller of a term has not been told, unless it runs on this
// VM. It returns what it has been told once the report has arrived.
func (t toldStreams) fill(term uint64, own bool, view *drfleetview.View, request *drpb.FleetSyncRequest) toldStreams {
	if t.term != term {
		t = toldStreams{term: term}
	}
	if own {
		return t
	}
	var beginnings []drversion.Beginning
	beginnings, t.number = view.StreamsAfter(t.number, maxToldStreams, term)
	request.Streams = encodeStreams(beginnings)
	if len(beginnings) == maxToldStreams {
		request.WaitMs = 0 // there may be more
	}
	return t
}

// copiedStreams is the number up to which the controller of a term has copied streams to this VM.
// more is set if it did not have room for all of them.
type copiedStreams struct {
	term, number uint64
	more         bool
}

// fill adds to a report how far this VM has the streams of the controller.
func (s copiedStreams) fill(request *drpb.FleetSyncRequest) {
	request.StreamsCopied = &drpb.FleetStreamPosition{Term: s.term, Number: s.number}
	if s.more {
		request.WaitMs = 0
	}
}

// withReply returns s after a reply of the controller.
func (s copiedStreams) withReply(reply *drpb.FleetSyncReply) copiedStreams {
	p := reply.GetStreamsCopied()
	return copiedStreams{term: p.GetTerm(), number: p.GetNumber(), more: len(reply.GetStreams().GetKeys()) == maxToldStreams}
}

// copyHolder is a VM that keeps a copy of the streams that the controller knows.
type copyHolder struct {
	vm, zone string
	seenAt   time.Duration
}

// fillStreams adds to a reply the streams that have begun, if the VM is one of those that keep a
// copy. It goes by what the VM says that it has: a reply may be lost, and a VM may start again.
func (c *Controller) fillStreams(name string, request *drpb.FleetSyncRequest, reply *drpb.FleetSyncReply) {
	had := request.GetStreamsCopied()
	if name == c.Holder || had == nil || !c.keepsCopy(name, request.GetZone()) {
		return
	}
	number := uint64(0)
	if had.GetTerm() == c.Term {
		number = had.GetNumber()
	}
	beginnings, number := c.view.StreamsAfter(number, maxToldStreams, c.Term)
	reply.Streams = encodeStreams(beginnings)
	reply.StreamsCopied = &drpb.FleetStreamPosition{Term: c.Term, Number: number}
}

// keepsCopy reports whether a VM that reports keeps a copy. It begins to if there is room, or if
// its copy would outlive more than another one.
func (c *Controller) keepsCopy(name, zone string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock.Uptime()
	i := slices.IndexFunc(c.copies[:], func(h copyHolder) bool { return h.vm == name })
	if i < 0 {
		i = c.replaceableCopy(zone, now)
	}
	if i < 0 {
		return false
	}
	c.copies[i] = copyHolder{vm: name, zone: zone, seenAt: now}
	return true
}

// replaceableCopy returns the index of a copy that a VM of an availability zone takes over, -1 if
// there is none: one whose VM is gone, or that would be lost with its zone together with the
// controller or another copy. The caller holds mu.
func (c *Controller) replaceableCopy(zone string, now time.Duration) int {
	gone := slices.IndexFunc(c.copies[:], func(h copyHolder) bool { return h.vm == "" || now-h.seenAt > copyHolderTimeout })
	if gone >= 0 {
		return gone
	}
	copies := map[string]int{c.Zone: 1}
	for _, h := range c.copies {
		copies[h.zone]++
	}
	if copies[zone] > 0 {
		return -1
	}
	return slices.IndexFunc(c.copies[:], func(h copyHolder) bool { return copies[h.zone] > 1 })
}

// handleStream answers a FleetStreamRequest.
func (n *Node) handleStream(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
	m := new(drpb.FleetStreamRequest)
	if err := proto.Unmarshal(body, m); err != nil {
		return nil, err
	}
	reply := new(drpb.FleetStreamReply)
	reply.Version, reply.Found = n.View.StreamVersion(drversion.Key(m.GetKey()))
	c := n.controller.Load()
	reply.Settled = c != nil && c.Holds() && c.Clock.Since(c.startedAt) > settledAfter
	return reply, nil
}

// AskStream asks the controller at which version a stream began. settled is set if the
// controller answers that would know, had the VM of the stream told it.
func (n *Node) AskStream(ctx context.Context, key drversion.Key) (version string, found, settled bool) {
	leader, reached := n.leaderToAsk()
	if !reached {
		return "", false, false
	}
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	reply := new(drpb.FleetStreamReply)
	if err := n.Peers.Call(ctx, leader.VM, methodStream, &drpb.FleetStreamRequest{Key: uint64(key)}, reply); err != nil {
		log.WithFields(log.Fields{"event": "stream-not-asked", "controller": leader.VM, "term": leader.Term}).WithError(err).Info("")
		return "", false, false
	}
	return reply.GetVersion(), reply.GetFound(), reply.GetSettled()
}

// AwaitsController reports whether this VM reaches the store but no controller, so that another
// one is about to lead. A VM that is cut off reaches neither.
func (n *Node) AwaitsController() bool {
	_, reached := n.Leader()
	answered := time.Duration(n.storeAnsweredAt.Load())
	return !reached && answered > 0 && n.Clock.Uptime()-answered < maxStoreSilence
}

// leaderToAsk returns the lease of the controller, or of the last one if that has said that it
// leads no more and no other is known, as while the store is away. It returns false if this VM
// reaches none.
func (n *Node) leaderToAsk() (drlease.Lease, bool) {
	leader, reached := n.Leader()
	if reached {
		return leader, true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	noOther := n.leader.VM == "" || n.leader.VM == n.former.VM
	return n.former, noOther && n.former.VM != ""
}

func encodeStreams(beginnings []drversion.Beginning) *drpb.FleetStreams {
	if len(beginnings) == 0 {
		return nil
	}
	m := new(drpb.FleetStreams)
	for _, b := range beginnings {
		i := slices.Index(m.Names, b.Version)
		if i < 0 {
			i = len(m.Names)
			m.Names = append(m.Names, b.Version)
		}
		m.Keys, m.Versions = append(m.Keys, uint64(b.Key)), append(m.Versions, uint32(i))
		m.AgesMs = append(m.AgesMs, uint32(milliseconds(b.Age)))
	}
	return m
}

// decodeStreams leaves out streams without a version.
func decodeStreams(m *drpb.FleetStreams) []drversion.Beginning {
	var beginnings []drversion.Beginning
	for i, key := range m.GetKeys() {
		if i >= len(m.GetVersions()) || int(m.GetVersions()[i]) >= len(m.GetNames()) {
			continue
		}
		b := drversion.Beginning{Key: drversion.Key(key), Version: m.GetNames()[m.GetVersions()[i]]}
		if i < len(m.GetAgesMs()) {
			b.Age = time.Duration(m.GetAgesMs()[i]) * time.Millisecond
		}
		beginnings = append(beginnings, b)
	}
	return beginnings
}
