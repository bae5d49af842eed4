package drtimeline

// Names of all events. They must not change, because alerts and tools match them.
const (
	RequestReceived      = "request-received"
	RequestAdmitted      = "request-admitted"
	RequestServed        = "request-served"
	RequestRefused       = "request-refused"
	RequestPanicked      = "request-panicked"
	OutcomeNotRecorded   = "outcome-not-recorded"
	OnceNotRecorded      = "once-not-recorded"
	QueueRefused         = "queue-refused"
	WakeRequested        = "wake-requested"
	WakeAnswered         = "wake-answered"
	GenerationDispatched = "generation-dispatched"
	FirstToken           = "first-token"
	StreamBroken         = "stream-broken"
	GenerationRetried    = "generation-retried"
	CallDispatched       = "call-dispatched"
	CallRetried          = "call-retried"
	RetryRefused         = "retry-refused"
	BackendCrashed       = "backend-crashed"
	BackendEjected       = "backend-ejected"

	RunnerOwned     = "runner-owned"
	RightGranted    = "right-granted"
	RightReleased   = "right-released"
	LoadOrdered     = "load-ordered"
	LoadEnded       = "load-ended"
	LoadFailed      = "load-failed"
	UnloadOrdered   = "unload-ordered"
	OrderFailed     = "order-failed"
	EngineRestarted = "engine-restarted"

	SharesNotAcquired = "shares-not-acquired"

	MemberJoined      = "member-joined"
	MemberReturned    = "member-returned"
	MemberAlive       = "member-alive"
	MemberSuspect     = "member-suspect"
	MemberUnreachable = "member-unreachable"
	MemberLeaving     = "member-leaving"
	MemberGone        = "member-gone"
	VMListUnavailable = "vm-list-unavailable"

	LogReadFailed       = "log-read-failed"
	LogRecordSkipped    = "log-record-skipped"
	LogGap              = "log-gap"
	LogSnapshotWritten  = "log-snapshot-written"
	LogSnapshotFailed   = "log-snapshot-failed"
	LogSnapshotRestored = "log-snapshot-restored"
	LogSnapshotRejected = "log-snapshot-rejected"
	LogFreshness        = "log-freshness"

	VMStarted      = "vm-started"
	DrainStarted   = "drain-started"
	DrainFinished  = "drain-finished"
	HandOverFailed = "hand-over-failed"
	ConfigChanged  = "config-changed"
	ConfigApplied  = "config-applied"
	ConfigRejected = "config-rejected"
)

// Descriptions lists all events in the order in which docs/events.md shows them.
var Descriptions = []Description{
	{RequestReceived, Debug, "A caller's request was parsed and its key accepted."},
	{RequestAdmitted, Debug, "The request has its tokens and its turn; took is the wait for both."},
	{RequestServed, Info, "The whole response was written; status, tokens and took since the arrival."},
	{RequestRefused, Info, "The request ended with a problem; status, reason, and the verdict on whether it ran."},
	{RequestPanicked, Error, "A fault of this program ended the request."},
	{OutcomeNotRecorded, Warn, "The outcome of a keyed call could not be recorded in time; recording goes on."},
	{OnceNotRecorded, Warn, "The outcome of a keyed call was not recorded before the process ended."},
	{QueueRefused, Debug, "The request left the queue without its turn; took is the wait."},
	{WakeRequested, Info, "No usable runner has the model loaded, so its owner is asked to load it."},
	{WakeAnswered, Info, "The wake-up ended; took is the wait, reason is set if it failed."},
	{GenerationDispatched, Debug, "An engine accepted the generation."},
	{FirstToken, Debug, "The first token arrived; took is the time since the request's arrival."},
	{StreamBroken, Warn, "The stream of an engine broke off."},
	{GenerationRetried, Info, "The generation continues on another engine."},
	{CallDispatched, Debug, "A call goes to a plain service."},
	{CallRetried, Info, "A call to a plain service is repeated on another server."},
	{RetryRefused, Warn, "A retry was not made because the retry budget is used up."},
	{BackendCrashed, Error, "A backend server crashed while it ran the request."},
	{BackendEjected, Warn, "A backend server gets no work for a while after consecutive failures."},

	{RunnerOwned, Info, "This VM became the owner of the runner."},
	{RightGranted, Info, "The model may have a replica on the runner."},
	{RightReleased, Info, "The right to a replica on the runner was given up."},
	{LoadOrdered, Info, "The engine was ordered to load the model or adapter."},
	{LoadEnded, Info, "The model or adapter is loaded; took is the time since the order."},
	{LoadFailed, Warn, "The load failed; it is tried again after a pause."},
	{UnloadOrdered, Info, "The engine was ordered to unload; reason is idle, memory or no-right."},
	{OrderFailed, Warn, "The engine did not accept an order or did not answer."},
	{EngineRestarted, Warn, "The engine process restarted and has nothing loaded."},

	{SharesNotAcquired, Warn, "Token shares without holder could not be acquired through the log."},

	{MemberJoined, Info, "An entry VM was seen for the first time."},
	{MemberReturned, Info, "An entry VM that counted as gone was heard of."},
	{MemberAlive, Info, "An entry VM answers again."},
	{MemberSuspect, Warn, "An entry VM did not answer probes."},
	{MemberUnreachable, Warn, "An entry VM gets no calls until it answers again."},
	{MemberLeaving, Info, "An entry VM is leaving."},
	{MemberGone, Info, "The platform's list has not shown an entry VM for so long that it no longer exists."},
	{VMListUnavailable, Warn, "The platform's VM list could not be read."},

	{LogReadFailed, Warn, "The first failed read of a stream after a successful one."},
	{LogRecordSkipped, Warn, "A record of the stream could not be understood."},
	{LogGap, Warn, "The log no longer retains the next record of the stream; a snapshot is looked for."},
	{LogSnapshotWritten, Info, "A snapshot of the stream's state was appended."},
	{LogSnapshotFailed, Warn, "A snapshot could not be appended."},
	{LogSnapshotRestored, Info, "The stream's state was restored from a snapshot."},
	{LogSnapshotRejected, Error, "A snapshot could not be restored."},
	{LogFreshness, Warn, "The relation to the log changed: fresh, log-down or isolated."},

	{VMStarted, Info, "The entry VM listens."},
	{DrainStarted, Info, "The entry VM reports not ready and will stop."},
	{DrainFinished, Info, "All requests were served and what the VM held was handed over."},
	{HandOverFailed, Warn, "Shares could not be handed over before the process ended."},
	{ConfigChanged, Info, "A change that an operator sent to this VM was accepted."},
	{ConfigApplied, Info, "A configuration change came into force on this VM."},
	{ConfigRejected, Warn, "A change that an operator sent to this VM was rejected."},
}
