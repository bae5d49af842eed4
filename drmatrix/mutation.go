package drmatrix

// mutation records a trial by hand: a mechanism that was removed on a scratch copy
// to check that tests of its invariant fail, and the tests that failed.
type mutation struct {
	invariant, mechanism, file, failedTests string
}

var mutations = []mutation{
	{"I1", "the fold rejects a grant above the decided number", "drplacement/ledger.go", "`drplacement.TestLedgerRejectsStaleRecords`"},
	{"I2", "an order in doubt keeps its memory reserved", "drplacement/runner_controller_memory.go", "`drplacement.TestOrderInFlightStaysReserved`"},
	{"I3", "a queued request leaves the queue at its deadline", "drqueue/queue.go", "`drqueue.TestWaitingItemsLeave`"},
	{"I4", "a route is refused to client accounts without its labels", "drgateway/route.go", "`drgateway.TestRefusals`"},
	{"I5", "query parameters that carry a key are removed", "drgateway/key_removal.go", "`drgateway.TestCleaningKeepsTheRest`; `drgateway.TestKeyNeverReachesBackends` still passed"},
	{"I6", "a withdrawal cancels the running request", "drgateway/request.go", "`drgateway.TestStreamEndsEarly/withdrawn` did not end within 20 s"},
	{"I7", "a loan lowers the capacity of the holder until it expires", "drtokenshare/bucket.go", "`drtokenshare.TestLoanLowersCapacity`, `drtokenshare.TestRepeatedReport`; `drtokenshare.TestNeverOverRate` still passed"},
	{"I8", "a token with another index than the next is refused", "drengine/token_decoder.go", "`drengine.TestDecoderRejects`"},
	{"I9", "an error without a verdict counts as may-have-run", "drerror/error.go", "`drerror.TestOfUnknownErrorIsMayHaveRun`"},
	{"I10", "the first intent in the log wins the key", "dridempotency/partition.go", "`dridempotency.TestAtMostOnce`, `dridempotency.TestFold`"},
	{"I11", "a leaving runner is not chosen", "drrouter/router.go", "`drrouter.TestGenerateAvoidsLeavingAndRefusingRunners`"},
	{"I12", "a drain waits for running requests", "drgateway/server.go", "`drgateway.TestDrainCompletesStreams` did not end within 20 s"},
	{"I13", "the fold rejects a change of an object that changed since", "drconfig/fold.go", "`drconfig.TestFold`, `drconfig.TestFoldDelete`, `drconfig.TestFoldForgets`, `drconfig.TestOperatorsRacing`, `drconfig.TestSnapshot`"},
	{"I11, edge", "no entry undoes that a runner leaves", "drfleetview/runner.go", "`drfleetview.TestLeavingOutlastsEntries`, `drfleetview.TestStatementsInRandomOrder`"},
	{"I11, edge", "a late answer marks no other incarnation", "drfleetview/leaving.go", "`drfleetview.TestLeavingOutlastsEntries`, `drfleetview.TestStatementsInRandomOrder`"},
	{"I11, edge", "what was chosen may have said since that it leaves", "drfleetview/pause.go", "`drfleetview.TestLeavingOutlastsEntries`, `drfleetview.TestStatementsInRandomOrder`"},
	{"I11, edge", "VMs report that a runner leaves", "drcontroller/sync.go", "`platform.TestLeavingRunnerGetsNothing`"},
	{"I11, edge", "an answer to an order says that the runner leaves", "drcontroller/executor.go", "`drcontroller.TestLeavingIsHeardInAllAnswers`"},
	{"I11, edge", "a report says that the runner leaves", "drcontroller/executor.go", "`drcontroller.TestLeavingIsHeardInAllAnswers`"},
	{"I11, edge", "the header is read in answers to the controller", "platform/engine.go", "`platform.TestLeavingEngineIsNotUsed`"},
	{"pause", "a paused runner is no candidate", "drfleetview/runner.go", "`drfleetview.TestPauseKeepsRequestsAway`"},
	{"pause", "a shorter pause ends no longer one", "drfleetview/pause.go", "`drfleetview.TestPauseKeepsRequestsAway`, `drfleetview.TestStatementsInRandomOrder`"},
	{"pause", "a late answer pauses no other incarnation", "drfleetview/pause.go", "`drfleetview.TestPauseKeepsRequestsAway`, `drfleetview.TestStatementsInRandomOrder`"},
	{"pause", "a pause ends with its incarnation", "drfleetview/pause.go", "`drfleetview.TestPauseKeepsRequestsAway`"},
	{"pause", "what was chosen may have paused since", "drfleetview/pause.go", "`drfleetview.TestPauseKeepsRequestsAway`, `drfleetview.TestStatementsInRandomOrder`"},
	{"pause", "it is looked up before each attempt", "drproxy/attempt.go", "`drproxy.TestRunnerThatWantsNothingMeanwhile`"},
	{"pause", "VMs report pauses to the controller", "drcontroller/sync.go", "`drcontroller.TestPausesAreReported`"},
	{"pause", "a plan counts paused runners as leaving", "drcontroller/pause.go", "`drcontroller.TestModelOfPausedRunnerIsLoadedElsewhere`"},
	{"pause", "only if half of the waiting VMs keep away", "drcontroller/pause.go", "`drcontroller.TestModelOfPausedRunnerIsLoadedElsewhere`"},
	{"pause", "only for a second or longer", "drcontroller/pause.go", "`drcontroller.TestModelOfPausedRunnerIsLoadedElsewhere`"},
	{"I7, edge", "tokens are set aside for VMs that a new controller does not know", "drtokenpool/pool.go", "`drtokenpool.TestVMsUnknownToNewControllerKeepTheirPart`"},
}
