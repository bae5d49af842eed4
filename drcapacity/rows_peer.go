package drcapacity

// peerRows returns the rows of the roles that call peers and engines.
func (m *model) peerRows() []Row {
	return []Row{
		m.freshnessRow(), m.memberRow(), m.sessionRow(), m.ownerRow(), m.plannerRow(), m.slotsRow(),
		m.residencyRow(), m.borrowerRow(), m.prefixRow(),
	}
}

func (m *model) freshnessRow() Row {
	l := m.fitFleets("idle", vmCount, cpuOfRoles("freshness"))
	return Row{
		Role: "freshness", State: "the last answer of each member while the log is down",
		CPU: max(0, l.Intercept), Error: l.Error(0),
		Formula:   "measured at 4 to 64 VMs; no calls while the log is confirmed",
		Mechanism: "One evaluation a second. In an outage it asks 410 members every 3 s, which is not a cost of normal running.",
	}
}

func (m *model) memberRow() Row {
	const listed = targetVMs + targetRunners
	calls := 1.0
	return Row{
		Role: "membership and probes", State: "4,110 listed VMs and the observations of entry VMs",
		Messages:  0.5 + 2*calls,
		Bytes:     0.5*m.valueAt("list-unchanged-bytes", 0) + listChanges*m.valueAt("list-changed-bytes", listed) + 2*calls*m.valueAt("peer-call-bytes", probeBytes),
		CPU:       percent(0.5*m.valueAt("list-unchanged", 0) + listChanges*m.valueAt("list-changed", listed) + calls*m.valueAt("peer-call", probeBytes)),
		Error:     percent(listChanges*m.standardErrorAt("list-changed", listed) + calls*m.standardErrorAt("peer-call", probeBytes)),
		Memory:    m.valueAt("member-memory", listed),
		Formula:   "0.5 × unchanged list + list changes/s × list(4,110) + 1 probe sent and 1 answered × call(256 B)",
		Mechanism: "The whole list is read after each change: 3 changes for each of 404 replaced VMs a day.",
		Remedy:    "a list that reports changes since a version",
	}
}

// probeBytes is about the size of a membership probe with six observations.
const probeBytes = 256

func (m *model) sessionRow() Row {
	opened := 1 - 60.0/targetVMs
	open := 2 * 60.0
	return Row{
		Role: "peer sessions", State: "sessions used in the last 60 s, with buffers and goroutines",
		Messages:  2 * opened,
		Bytes:     2 * opened * m.slope("open-tls-session-bytes"),
		CPU:       percent(opened * m.slope("open-tls-session")),
		Error:     percent(opened * m.standardErrorAt("open-tls-session", 64) / 64),
		Memory:    open * m.slope("session-memory") / 2,
		Formula:   "(1 − 60/410) sessions/s opened and as many accepted × TLS session; 120 open × memory of one end",
		Mechanism: "A probe to a random VM finds a session open only if it was used in the last 60 s; else it makes a TLS handshake with both certificates. drnet keeps tickets to resume, but the sessions measured here were not resumed.",
		Remedy:    "finding out why drnet's tickets do not shorten the handshakes measured here; or probing the next 30 VMs in hash order, over sessions that stay open",
	}
}

func (m *model) ownerRow() Row {
	l := m.fitFleets("runners", runnersPerVM, cpuOfRoles("owner"))
	n := float64(targetRunners) / targetVMs
	memory := m.fitFleets("runners", runnersPerVM, func(fleet Fleet) float64 { return fleet.Memory })
	return Row{
		Role: "runner owner", State: "9 runners: engine state, replicas, flights",
		Messages: n, CPU: max(0, l.At(n)), Error: l.Error(n), Memory: max(0, memory.Slope) * n,
		Formula:   "cost per owned runner × 3,700/410, measured at 4, 16 and 36 idle runners per VM",
		Mechanism: "A held state request of 1 s for each runner. Bytes to engines are not counted. Under load, reports change up to 4 times a second.",
	}
}

func (m *model) plannerRow() Row {
	passes := 1 + min(4, placementAppends)
	return Row{
		Role: "planner", State: "home of each model among the candidates",
		CPU:       percent(passes*m.valueAt("config-review-by-models", targetModels) + entryVMReplacements*targetModels*m.valueAt("rank", targetVMs)),
		Error:     percent(passes * m.standardErrorAt("config-review-by-models", targetModels)),
		Memory:    targetModels * 100,
		Formula:   "(1 + placement records/s) reviews × review(240 models) + changes of entry VMs/s × 240 × rank(410)",
		Mechanism: "Each placement record and each second lets every VM look at all models; a change of the members ranks all models again.",
		Remedy:    "review only the models that this VM plans",
	}
}

func (m *model) slotsRow() Row {
	calls := targetLoadChanges * 4 / targetVMs
	return Row{
		Role: "weight-store slots", State: "holders of 4 + 32 slots, loans",
		Messages: 2 * calls, Bytes: 2 * calls * m.valueAt("peer-call-bytes", 64), CPU: percent(calls * m.valueAt("peer-call", 64)),
		Formula:   "loads/s × 4 calls ÷ 410 VMs × call(64 B)",
		Mechanism: "A loan is taken, renewed and returned for each load from the weight store.",
	}
}

func (m *model) residencyRow() Row {
	const reports = 4.0 // per second; loadReportPeriod is 250 ms
	n := float64(targetRunners) / targetVMs
	calls := targetVMs * reports
	reply := m.valueAt("residency-reply-bytes", n)
	return Row{
		Role: "residency subscriber", State: "status of 3,700 runners",
		Messages:  2 * calls,
		Bytes:     2 * calls * (m.valueAt("peer-call-bytes", 16) + reply),
		CPU:       percent(calls * (m.valueAt("peer-call", reply/2) + m.valueAt("residency-reply", n))),
		Error:     percent(calls * m.standardErrorAt("peer-call", reply/2)),
		Memory:    targetRunners*reply/n*2 + 2*targetVMs*m.slope("session-memory")/2,
		Formula:   "410 owners × 4 reports/s × (call + reply of 9 runners), asked and answered",
		Mechanism: "At peak every VM uses every loaded model and so follows all 410 owners; each owner's load changes four times a second.",
		Remedy: "each VM uses a subset of at most 4 runners of a model (rendezvous order, more when they are full), " +
			"reports load once a second and piggy-backed on generations, and sends differences",
	}
}

func (m *model) borrowerRow() Row {
	calls := assumedActive * 4
	return Row{
		Role: "token borrower", State: "lots, demand and the holders of active accounts",
		Messages: 2 * calls, Bytes: 2 * calls * m.valueAt("peer-call-bytes", 64), CPU: percent(calls * m.valueAt("peer-call", 64)),
		Error:     percent(calls * m.standardErrorAt("peer-call", 64)),
		Memory:    assumedActive * 2000,
		Formula:   "50 active accounts × 4 loans/s × call(64 B), asked and answered",
		Mechanism: "A loan covers the demand of the next 250 ms of one account; each is a call of its own. The memory is an estimate.",
		Remedy:    "one call for all accounts that a holder VM has shares of, and loans for 1 s where the bucket is far from empty",
	}
}

func (m *model) prefixRow() Row {
	polls := targetRunners * 0.5
	return Row{
		Role: "prefix maps", State: "blocks cached by each engine in use",
		Messages: polls, Bytes: polls * m.valueAt("log-read-bytes", 0), CPU: percent(polls * m.valueAt("log-read", 0)),
		Error:     percent(polls * m.standardErrorAt("log-read", 0)),
		Memory:    targetRunners * m.valueAt("prefix-memory", assumedBlocks),
		Formula:   "3,700 engines × one held poll in 2 s × read(0) (an HTTP poll like the log's); 3,700 × memory(1,024 blocks)",
		Mechanism: "Every VM follows the cache events of every engine on which a model in use is loaded. Under load a poll ends at each event.",
		Remedy:    "the owner of a runner follows its engine and sends a Bloom filter of a few KB every few seconds to the VMs that use the runner (the subset above)",
	}
}
