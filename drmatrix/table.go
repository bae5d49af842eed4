package drmatrix

type protocol struct {
	name  string
	steps []string
}

var protocols = []protocol{
	{"configuration change", []string{"before append", "append's answer lost", "before in force"}},
	{"load", []string{"before order", "order sent", "mid-load", "loaded"}},
	{"takeover", []string{"own appended", "fence planted", "waiting out"}},
	{"grant and release", []string{"grant", "release"}},
	{"token loan", []string{"before debit", "answer lost", "unused"}},
	{"keyed call", []string{"before intent", "intent recorded", "dispatched", "outcome not recorded"}},
	{"stream", []string{"before first token", "mid-stream", "last token"}},
	{"drain", []string{"notice", "streams running", "hand-over"}},
	{"join", []string{"join"}},
	{"key withdrawal", []string{"withdrawal"}},
}

var columns = []string{
	"process death", "pause past a lease", "log down", "log slow", "log answer lost", "late append", "log gap",
	"weight store slow", "VM reclaimed", "zone partition", "one-way partition", "late and repeated answers",
	"key withdrawn", "operators racing", "poison request",
}

// columnsNotInCluster are the faults that only tests with fakes can inject: all VMs
// of a cluster share one process, so that a single VM cannot be paused, and its
// sockets do not repeat messages.
var columnsNotInCluster = []string{"pause past a lease", "late and repeated answers"}

// excludedColumnsByStep holds the steps that TestCells runs, with the faults that
// it leaves out for each. TestTable compares it with the scenarios of the test.
var excludedColumnsByStep = map[Row][]string{
	{"configuration change", "before append"}:   {"key withdrawn", "weight store slow", "poison request"},
	{"configuration change", "before in force"}: {"key withdrawn", "weight store slow", "poison request"},
	{"load", "before order"}:                    nil,
	{"load", "mid-load"}:                        nil,
	{"keyed call", "before intent"}:             nil,
	{"keyed call", "dispatched"}:                nil,
	{"stream", "before first token"}:            nil,
	{"stream", "mid-stream"}:                    nil,
	{"stream", "last token"}:                    nil,
	{"drain", "notice"}:                         {"process death", "VM reclaimed"},
	{"drain", "streams running"}:                {"process death", "VM reclaimed"},
	{"join", "join"}:                            nil,
	{"key withdrawal", "withdrawal"}:            {"key withdrawn"},
}

// randomTests are the tests that draw their faults at random from a fixed seed.
var randomTests = []string{
	"drplacement.TestInvariantsUnderFaults", "drtokenshare.TestNeverOverRate", "dridempotency.TestAtMostOnce", "drconfig.TestOperatorsRacing",
}

// coverage names the tests or the reason for the cells of a protocol, or of one step
// of it, in some columns.
type coverage struct {
	protocol, step string
	columns        []string
	tests          []string
	reason         string
}

func coveredBy(protocol, step string, tests []string, columns ...string) coverage {
	return coverage{protocol: protocol, step: step, columns: columns, tests: tests}
}

func notCovered(protocol, step, reason string, columns ...string) coverage {
	return coverage{protocol: protocol, step: step, columns: columns, reason: reason}
}

// coverageEntries holds the tests of other packages and the reasons. An empty step
// stands for all steps of the protocol. A cell with a test shows no reason.
var coverageEntries = []coverage{
	coveredBy("configuration change", "append's answer lost", []string{"drconfig.TestFold", "drlog.TestAppendVerdicts"}, "log answer lost", "late append"),
	coveredBy("configuration change", "", []string{"drconfig.TestOperatorsRacing"}, "late append", "late and repeated answers", "operators racing"),
	coveredBy("configuration change", "", []string{"drlog.TestNoGoingBack"}, "late and repeated answers"),
	coveredBy("configuration change", "before in force", []string{"drlog.TestStartAfterGap", "drlog.TestGapWhileFollowing", "drconfig.TestSnapshot"}, "log gap"),
	coveredBy("configuration change", "before in force", []string{"drlog.TestBootstrapFromPeer"}, "log down"),
	coveredBy("configuration change", "before in force", []string{"drlog.TestSlowLogStaysFresh"}, "log slow"),
	coveredBy("configuration change", "before in force", []string{"drlog.TestAloneCutOffIsIsolated", "drlog.TestHalfCutOffIsIsolated"}, "zone partition"),
	notCovered("configuration change", "append's answer lost", "The step is itself a lost answer: the change is in the log and is found by its id, as under 'before in force'.",
		"process death", "log down", "log slow", "log gap", "VM reclaimed", "zone partition", "one-way partition"),
	notCovered("configuration change", "", "No lease is involved. A VM that was paused reads on from its offset, as after 'log down'.", "pause past a lease"),
	notCovered("configuration change", "", "Operators authenticate with tokens from the settings; the change does not use callers' keys, loads nothing and runs no request.",
		"key withdrawn", "weight store slow", "poison request"),

	coveredBy("load", "", []string{"drplacement.TestInvariantsUnderFaults"}, "process death", "pause past a lease", "log down", "log answer lost", "late append", "late and repeated answers"),
	coveredBy("load", "before order", []string{"drplacement.TestNoOrderAfterLease", "drplacement.TestLateOrderAfterTakeover"}, "pause past a lease"),
	coveredBy("load", "order sent", []string{"drplacement.TestOrderInFlightStaysReserved"}, "pause past a lease", "late and repeated answers"),
	coveredBy("load", "order sent", []string{"drplacement.TestLostAnswers"}, "log answer lost", "late append"),
	coveredBy("load", "mid-load", []string{"drplacement.TestOwnerDiesMidLoad", "drplacement.TestEngineRestartsMidLoad"}, "process death"),
	coveredBy("load", "before order", []string{"drplacement.TestWakeWhileLogIsDown"}, "log down"),
	coveredBy("load", "before order", []string{"drplacement.TestLeavingRunner"}, "VM reclaimed"),
	coveredBy("load", "before order", []string{"drplacement.TestHomeUnreachable"}, "zone partition"),
	coveredBy("load", "before order", []string{"drplacement.TestDecidedMaximumLowered"}, "operators racing"),
	coveredBy("load", "order sent", []string{"drplacement.TestWeightStoreSlots"}, "log down"),
	notCovered("load", "order sent", "The window between sending an order and its arrival is a few milliseconds; the outside effect is that of 'mid-load'.",
		"log slow", "log gap", "weight store slow", "VM reclaimed", "zone partition", "one-way partition", "key withdrawn", "operators racing", "poison request"),
	notCovered("load", "loaded", "Nothing of the load is under way any more; the effect on requests is that of 'stream'.",
		"log slow", "log gap", "weight store slow", "VM reclaimed", "zone partition", "one-way partition", "key withdrawn", "poison request"),
	coveredBy("load", "loaded", []string{"drplacement.TestDecidedMaximumLowered"}, "operators racing"),

	coveredBy("takeover", "", []string{"drplacement.TestInvariantsUnderFaults"}, "process death", "pause past a lease", "log down", "log answer lost", "late append", "late and repeated answers"),
	coveredBy("takeover", "own appended", []string{"drplacement.TestLostAnswers", "drplacement.TestLedgerRejectsStaleRecords"}, "log answer lost", "late append"),
	coveredBy("takeover", "own appended", []string{"drplacement.TestOwnerDiesMidLoad"}, "process death"),
	coveredBy("takeover", "fence planted", []string{"drplacement.TestLateOrderAfterTakeover"}, "pause past a lease", "late and repeated answers"),
	coveredBy("takeover", "waiting out", []string{"drplacement.TestTakeoverWaitsOutLease"}, "process death"),
	coveredBy("takeover", "waiting out", []string{"drplacement.TestNoOrderAfterLease"}, "log down", "pause past a lease"),
	notCovered("takeover", "", "Not run. A slow log delays the own record as an outage does ('log down'); no test holds a takeover in this step under this fault.", "log slow"),
	notCovered("takeover", "", "Not run. The placement fold restarts from a snapshot (drplacement.TestLedgerSnapshot, drlog.TestGapWhileFollowing); no test combines this with a takeover.", "log gap"),
	notCovered("takeover", "", "Not run. A reclaimed VM is a dead one that the list no longer shows; the takeover does not wait for the list with fencing.", "VM reclaimed"),
	notCovered("takeover", "", "Not run as a takeover of its own. The cluster cells of 'load' under this fault include takeovers by the other VMs.", "zone partition", "one-way partition"),
	notCovered("takeover", "", "Owning a runner uses no caller's key, loads nothing and runs no request.", "key withdrawn", "weight store slow", "poison request"),
	notCovered("takeover", "", "Ownership does not depend on the configuration, except on a fleet's checks-fencing.", "operators racing"),

	coveredBy("grant and release", "", []string{"drplacement.TestInvariantsUnderFaults"}, "process death", "pause past a lease", "log down", "log answer lost", "late append", "late and repeated answers", "operators racing"),
	coveredBy("grant and release", "grant", []string{"drplacement.TestLostAnswers"}, "log answer lost", "late append"),
	coveredBy("grant and release", "release", []string{"drplacement.TestLateRelease"}, "late append", "late and repeated answers"),
	coveredBy("grant and release", "release", []string{"drplacement.TestLedgerRejectsReleaseOfFormerOwner"}, "pause past a lease"),
	coveredBy("grant and release", "grant", []string{"drplacement.TestHomeUnreachable"}, "zone partition"),
	coveredBy("grant and release", "", []string{"drplacement.TestDecidedMaximumLowered"}, "operators racing"),
	coveredBy("grant and release", "", []string{"drplacement.TestLedgerSnapshot"}, "log gap"),
	coveredBy("grant and release", "release", []string{"drplacement.TestLeavingRunner"}, "VM reclaimed"),
	notCovered("grant and release", "", "Not run on its own; the cluster cells of 'load' under this fault include the grant.", "log slow", "VM reclaimed", "zone partition", "one-way partition"),
	notCovered("grant and release", "", "Rights are records: no caller's key, load or request takes part.", "key withdrawn", "weight store slow", "poison request"),

	coveredBy("token loan", "", []string{"drtokenshare.TestNeverOverRate"}, "process death", "pause past a lease", "log down", "late and repeated answers", "operators racing"),
	coveredBy("token loan", "", []string{"drtokenshare.TestHolderFailures"}, "process death", "pause past a lease", "log down", "VM reclaimed"),
	coveredBy("token loan", "answer lost", []string{"drtokenshare.TestLoanExpiresAtBorrower", "drtokenshare.TestLoanLowersCapacity"}, "late and repeated answers"),
	coveredBy("token loan", "unused", []string{"drtokenshare.TestRepeatedReport", "drtokenshare.TestRefundOfOverflow"}, "late and repeated answers"),
	coveredBy("token loan", "", []string{"drtokenshare.TestLimitChange"}, "operators racing"),
	coveredBy("token loan", "", []string{"drtokenshare.TestSharesAcceptance"}, "log answer lost", "late append"),
	notCovered("token loan", "", "Not run. A loan uses no log; shares change holders through the log as under 'log down'.", "log slow", "log gap"),
	notCovered("token loan", "", "Not run on its own; the lost messages of drtokenshare.TestNeverOverRate have the same effect for the VMs cut off.", "zone partition", "one-way partition"),
	notCovered("token loan", "", "A loan belongs to a client account, not to a key, and is settled however its request ends; weights play no part.", "key withdrawn", "weight store slow", "poison request"),

	coveredBy("keyed call", "", []string{"dridempotency.TestAtMostOnce"}, "process death", "pause past a lease", "log down", "log answer lost", "late append", "late and repeated answers"),
	coveredBy("keyed call", "intent recorded", []string{"dridempotency.TestRefusals"}, "process death", "pause past a lease"),
	coveredBy("keyed call", "", []string{"dridempotency.TestGap"}, "log gap"),
	coveredBy("keyed call", "outcome not recorded", []string{"drgateway.TestPaidCallRunsToCompletion"}, "key withdrawn"),
	notCovered("keyed call", "intent recorded", "The time between reading the intent back and dispatching is below a millisecond; the outside effect is that of 'before intent' or 'dispatched'.",
		"log slow", "VM reclaimed", "zone partition", "one-way partition", "key withdrawn"),
	notCovered("keyed call", "outcome not recorded", "The cells of 'dispatched' inject the fault after the service has executed the call and last beyond its answer, so they include this step.",
		"log slow", "VM reclaimed", "zone partition", "one-way partition"),
	notCovered("keyed call", "", "The call loads no model, and nothing of it depends on the changed objects or on an engine; the other two steps are run as a check.",
		"weight store slow", "operators racing", "poison request"),

	coveredBy("stream", "", []string{"drrouter.TestBrokenStreamContinuesExactly", "drrouter.TestSilentEngineIsLeft"}, "process death"),
	coveredBy("stream", "", []string{"drengine.TestDecoderRejects", "drengine.TestResumeCompletesAnswer"}, "late and repeated answers"),
	coveredBy("stream", "mid-stream", []string{"drgateway.TestStreamEndsEarly"}, "key withdrawn"),
	coveredBy("stream", "", []string{"drrouter.TestPoisonStopsAfterTwoCrashes", "drrouter.TestSuspectsRunApart", "drrouter.TestInstanceCrashesOnce"}, "poison request"),
	notCovered("stream", "", "A stream holds no lease. A paused engine is that of drrouter.TestSilentEngineIsLeft ('process death'); callers of a paused entry VM wait.", "pause past a lease"),

	coveredBy("drain", "streams running", []string{"drgateway.TestDrainCompletesStreams"}, "late and repeated answers"),
	coveredBy("drain", "hand-over", []string{"drplacement.TestDrainHandsRunnersOver", "drplacement.TestDrainWaitsForOrderInDoubt"}, "late and repeated answers", "late append"),
	coveredBy("drain", "hand-over", []string{"drplacement.TestInvariantsUnderFaults"}, "process death", "pause past a lease", "log down", "log answer lost", "late append"),
	coveredBy("drain", "hand-over", []string{"drtokenshare.TestHolderFailures"}, "VM reclaimed"),
	notCovered("drain", "hand-over", "Included in the cells of 'streams running', where the fault lasts into the hand-over.",
		"log slow", "log gap", "weight store slow", "zone partition", "one-way partition", "key withdrawn", "operators racing", "poison request"),
	notCovered("drain", "", "A draining VM that dies or is reclaimed is a dead VM: its streams are cut, as under 'stream'.", "process death", "VM reclaimed"),
	notCovered("drain", "", "No lease is involved before the hand-over.", "pause past a lease"),
	notCovered("drain", "notice", "During the notice requests are served as before, as under 'stream'.", "late and repeated answers"),

	coveredBy("join", "", []string{"drlog.TestBootstrapFromPeer"}, "log down"),
	coveredBy("join", "", []string{"drlog.TestStartAfterGap", "drlog.TestSnapshotsOutliveRetention"}, "log gap"),
	coveredBy("join", "", []string{"drmember.TestNewVMAnnouncesItselfToSeeds"}, "zone partition"),
	coveredBy("join", "", []string{"drmember.TestCutBetweenTwoVMs"}, "one-way partition"),
	coveredBy("join", "", []string{"drmember.TestRestartedVM"}, "process death"),
	notCovered("join", "", "A joining VM holds no lease.", "pause past a lease"),
	coveredBy("join", "", []string{"drlog.TestNoGoingBack"}, "late and repeated answers"),

	coveredBy("key withdrawal", "", []string{"drconfig.TestWithdrawnKey", "drgateway.TestStreamEndsEarly", "drgateway.TestQueuedRequestEnds"}, "key withdrawn"),
	coveredBy("key withdrawal", "", []string{"drconfig.TestOperatorsRacing"}, "late and repeated answers", "operators racing"),
	notCovered("key withdrawal", "", "No lease is involved. A VM that was paused is isolated until it has read the log (drlog.TestAloneCutOffIsIsolated).", "pause past a lease"),
}
