package drcapacity

// stateRows returns the rows of the roles that keep state from the log.
func (m *model) stateRows() []Row {
	return []Row{m.followerRow(), m.configRow(), m.ledgerRow(), m.sharesRow(), m.onceRow(), m.suspectsRow(), m.snapshotRow()}
}

func (m *model) followerRow() Row {
	records := targetChanges + placementAppends + shareAppends
	reads := longPolledStreams + pausedOnceReads + records
	tail := min(m.valueAt("follower-memory", tailRecords), tailBytes)
	return Row{
		Role: "log follower", State: "offset, confirmation and last 4,096 records of config, placement, shares, suspects",
		Messages: reads,
		Bytes:    reads*m.valueAt("log-read-bytes", 0) + records*m.slope("log-read-bytes"),
		CPU:      percent(reads*m.valueAt("log-read", 0) + records*m.slope("log-read")),
		Error:    percent(reads * m.standardErrorAt("log-read", 0)),
		Memory:   longPolledStreams * tail,
		Formula:  "(4 held polls/s + 0.8 + records/s) × read(0) + records/s × read per record; 4 tails",
		Mechanism: "A held poll of 1 s for each of 4 streams, one read in 10 s for 8 once-N streams, and one more read for each record. " +
			"The stand-in's half of each read is included.",
		Remedy: "encode records in binary; one poll for several streams would need a change of the platform's log",
	}
}

func (m *model) configRow() Row {
	change := m.valueAt("config-change-by-keys", assumedKeys) + m.slope("config-change-by-adapters")*targetAdapters +
		m.slope("config-change-by-accounts")*assumedAccounts
	selector := m.valueAt("selector-change-by-adapters", targetAdapters) + m.slope("selector-change-by-accounts")*assumedAccounts +
		m.slope("selector-change-by-models")*targetModels
	memory := m.valueAt("config-memory-by-models", targetModels) + m.slope("config-memory-by-adapters")*targetAdapters +
		m.slope("config-memory-by-accounts")*assumedAccounts + m.slope("config-memory-by-keys")*assumedKeys
	return Row{
		Role: "configuration fold", State: "objects, entitlements, keys by hash, results of 4,096 changes (not measured)",
		Messages:  targetChanges,
		CPU:       percent(targetChanges * ((1-assumedSelectors)*change + assumedSelectors*selector)),
		Error:     percent(targetChanges * m.standardErrorAt("config-change-by-keys", assumedKeys)),
		Memory:    memory,
		Formula:   "changes/s × (0.9 × key change(keys, adapters, accounts) + 0.1 × selector change(adapters, accounts, models))",
		Mechanism: "A change of a key copies the index of all keys; a change of a selector matches all models, adapters and accounts again.",
		Remedy:    "persistent maps, and matching only what the selector's labels touch",
	}
}

func (m *model) ledgerRow() Row {
	recordCPU := m.slope("ledger-right-fold")
	return Row{
		Role: "placement ledger", State: "owner of each runner, rights by model and runner, intents in doubt, slots",
		Messages:  placementAppends,
		CPU:       percent(placementAppends * recordCPU),
		Error:     percent(placementAppends * m.standardErrorAt("ledger-right-fold", targetRunners) / targetRunners),
		Memory:    m.valueAt("ledger-owner-memory", targetRunners) + m.valueAt("ledger-right-memory", targetRunners),
		Formula:   "placement records/s × fold of one record; memory(3,700 owners) + memory(3,700 rights)",
		Mechanism: "2 records for each load or unload by engines that ignore fencing, 3 for each runner of a replaced entry VM; one right per runner.",
	}
}

func (m *model) sharesRow() Row {
	l := m.fitFleets("accounts", func(fleet Fleet) float64 { return float64(fleet.Accounts) }, cpuOfRoles("shares"))
	return Row{
		Role: "share holder", State: "holder of 8 shares for each account, and the buckets of the shares held here",
		Messages:  shareAppends,
		CPU:       percent(shareAppends*m.slope("shares-fold")) + max(0, l.Slope)*assumedAccounts,
		Error:     slopeStandardError(l) * assumedAccounts,
		Memory:    m.valueAt("shares-memory", assumedAccounts),
		Formula:   "moves of shares/s × fold + 1,000 accounts × review, measured at 20, 80 and 320 accounts; memory(1,000 accounts)",
		Mechanism: "Each second every VM looks at the 8 shares of each account. Shares move when one of their holders is replaced. Loans are in the row of the borrower.",
		Remedy:    "review an account only after a change of its shares or of the members",
	}
}

func (m *model) onceRow() Row {
	calls := assumedCalls * 0.9 * retentionSeconds
	record := m.slope("once-bytes")
	reads := pausedOnceReads
	return Row{
		Role: "at-most-once home and follower", State: "each keyed call of the last 21.6 h with its answer (512 B here, at most 16 KiB); tails of 8 streams",
		Messages:  reads,
		Bytes:     assumedCalls * record * m.slope("log-read-bytes") / logRecordBytes,
		CPU:       percent(assumedCalls * (m.slope("once-fold") + 2*m.slope("log-read"))),
		Error:     percent(assumedCalls * m.standardErrorAt("once-fold", 16000) / 16000),
		Memory:    m.slope("once-memory")*calls + onceStreams*min(tailRecords*record/2, tailBytes),
		Formula:   "10 keyed calls/s × (fold of intent and outcome + 2 records read); 10/s × 77,760 s × memory per call + 8 tails",
		Mechanism: "Every VM folds all 8 partitions for the whole window, although 24 of 410 VMs are homes.",
		Remedy: "follow a partition only where a home is (24 of 410 VMs), and keep there only a hash and an offset for each call, " +
			"with the answer read from the log when it is replayed: about 50 B × 97,200 calls for each partition",
	}
}

func (m *model) suspectsRow() Row {
	return Row{
		Role: "suspects", State: "at most 16,384 fingerprints with strikes (not measured)",
		Messages: targetFailures * targetVMs, Bytes: targetFailures * targetVMs * m.valueAt("peer-call-bytes", 256),
		CPU:       percent(targetFailures * (targetVMs*m.valueAt("peer-call", 256) + 2*m.valueAt("log-read", 1))),
		Formula:   "failures/s × (410 × call(256 B) + 2 records)",
		Mechanism: "A crash is told to all live VMs before callers are answered; counted as if one VM had all crashes.",
	}
}

func (m *model) snapshotRow() Row {
	configBytes := m.valueAt("config-snapshot-bytes-by-keys", assumedKeys) + m.slope("config-snapshot-bytes-by-adapters")*targetAdapters +
		m.slope("config-snapshot-bytes-by-accounts")*assumedAccounts
	configCPU := m.valueAt("config-snapshot-by-keys", assumedKeys) + m.slope("config-snapshot-by-adapters")*targetAdapters
	ledgerBytes := m.valueAt("ledger-owner-snapshot-bytes", targetRunners) + m.valueAt("ledger-right-snapshot-bytes", targetRunners)
	onceBytes := m.slope("once-snapshot-bytes") * assumedCalls * 0.9 * retentionSeconds / onceStreams
	encodingFactor := m.slope("log-read-bytes") / logRecordBytes
	bytesRead := targetChanges/recordsPerSnapshot*configBytes + placementAppends/recordsPerSnapshot*ledgerBytes + onceAppends/recordsPerSnapshot*onceBytes
	return Row{
		Role: "snapshots", State: "none between snapshots; the encoded state while one is written",
		Messages:  (targetChanges + placementAppends + onceAppends) / recordsPerSnapshot,
		Bytes:     bytesRead * encodingFactor,
		CPU:       percent(targetChanges/recordsPerSnapshot*configCPU + bytesRead/logRecordBytes*m.slope("log-read")),
		Memory:    configBytes + ledgerBytes,
		Formula:   "records/s of each stream ÷ 1,000 × its snapshot, read by every VM as base64",
		Mechanism: "After 1,000 records one VM appends the whole state to the stream, and all read it. Almost all of it is the once-N streams.",
		Remedy:    "the smaller state of keyed calls (above), snapshots by growth of the stream in bytes instead of records, and no read of a snapshot that covers what is held",
	}
}

// recordsPerSnapshot is the number of records of a stream after which drserve
// writes a snapshot.
const recordsPerSnapshot = 1000.0
