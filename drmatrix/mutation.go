package drmatrix

// mutation is a mechanism that was removed on a scratch copy, with what was
// seen.
type mutation struct {
	invariant, mechanism, file, seen string
}

var mutations = []mutation{
	{"I1", "the fold rejects a grant above the decided number", "drplace/ledger.go", "`drplace.TestLedgerRejectsStaleRecords`"},
	{"I2", "an order in doubt keeps its memory reserved", "drplace/keeper_memory.go", "`drplace.TestOrderInFlightStaysReserved`"},
	{"I3", "a queued request leaves the queue at its deadline", "drqueue/queue.go", "`drqueue.TestWaitingItemsLeave`"},
	{"I4", "a route is refused to client accounts without its labels", "drgate/route.go", "`drgate.TestRefusals`"},
	{"I5", "query parameters that carry a key are removed", "drgate/clean.go", "`drgate.TestCleaningKeepsTheRest`; `drgate.TestKeyNeverReachesBackends` still passed"},
	{"I7", "a loan lowers the capacity of the holder until it expires", "drlimit/bucket.go", "`drlimit.TestLoanLowersCapacity`, `drlimit.TestRepeatedReport`; `drlimit.TestNeverOverRate` still passed"},
	{"I8", "a token with another index than the next is refused", "drengine/token_decoder.go", "`drengine.TestDecoderRejects`"},
	{"I9", "an error without a verdict counts as may-have-run", "drverdict/error.go", "`drverdict.TestOfUnknownErrorIsMayHaveRun`"},
	{"I10", "the first intent in the log wins the key", "dronce/partition.go", "`dronce.TestAtMostOnce`, `dronce.TestFold`"},
	{"I13", "the fold rejects a change of an object that changed since", "drconfig/fold.go", "`drconfig.TestFold`, `drconfig.TestFoldDelete`, `drconfig.TestFoldForgets`, `drconfig.TestOperatorsRacing`, `drconfig.TestSnapshot`"},
}
