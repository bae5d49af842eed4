package drmetric

// Names of all metrics. There are no metrics of rates: whoever reads the page computes
// them from counters over the interval of interest.
const (
	Requests            = "dotterelridge_requests_total"
	Refusals            = "dotterelridge_refusals_total"
	InRateRefusals      = "dotterelridge_in_rate_refusals_total"
	QueueWait           = "dotterelridge_queue_wait_seconds"
	Queued              = "dotterelridge_queued_requests"
	QueuedBytes         = "dotterelridge_queued_bytes"
	TimeToFirstToken    = "dotterelridge_time_to_first_token_seconds"
	InterTokenLatency   = "dotterelridge_inter_token_latency_seconds"
	ColdStartWait       = "dotterelridge_cold_start_wait_seconds"
	ServedTokens        = "dotterelridge_served_tokens_total"
	Loads               = "dotterelridge_loads_total"
	LoadTime            = "dotterelridge_load_seconds"
	Evictions           = "dotterelridge_evictions_total"
	IdleAccelerator     = "dotterelridge_idle_accelerator_seconds_total"
	BorrowedTokens      = "dotterelridge_borrowed_tokens_total"
	ReturnedTokens      = "dotterelridge_returned_tokens_total"
	Retries             = "dotterelridge_retries_total"
	PromptTokens        = "dotterelridge_prompt_tokens_total"
	Ejections           = "dotterelridge_ejections_total"
	Strikes             = "dotterelridge_strikes_total"
	LogAppends          = "dotterelridge_log_appends_total"
	LogReads            = "dotterelridge_log_reads_total"
	FollowerLag         = "dotterelridge_follower_lag_seconds"
	FollowerOffset      = "dotterelridge_follower_offset"
	ConfigOffset        = "dotterelridge_config_offset"
	ConfigChanges       = "dotterelridge_config_changes_total"
	OnceCalls           = "dotterelridge_once_calls_total"
	Peers               = "dotterelridge_peers"
	PeerBytes           = "dotterelridge_peer_bytes_total"
	CallerConnections   = "dotterelridge_caller_connections"
	ProcessCPU          = "dotterelridge_process_cpu_seconds_total"
	ProcessMemory       = "dotterelridge_process_memory_bytes"
	ProcessGoroutines   = "dotterelridge_process_goroutines"
	RequestTime         = "dotterelridge_request_seconds"
	UnreadTime          = "dotterelridge_unread_seconds"
	AccountClaims       = "dotterelridge_account_claims_total"
	LogLinesDropped     = "dotterelridge_log_lines_dropped_total"
	DeploymentAge       = "dotterelridge_deployment_age_seconds"
	RunnersAge          = "dotterelridge_runners_age_seconds"
	KnownRunners        = "dotterelridge_known_runners"
	LeavingRunners      = "dotterelridge_leaving_runners"
	PausedRunners       = "dotterelridge_paused_runners"
	OutOfServiceZones   = "dotterelridge_out_of_service_zones"
	OutOfServiceRunners = "dotterelridge_out_of_service_runners"
	OutOfServiceRunning = "dotterelridge_out_of_service_running_requests"
	ColdRunners         = "dotterelridge_cold_runners"
	LimitedRunners      = "dotterelridge_limited_runners"
	MalformedStatements = "dotterelridge_malformed_statements_total"
	Controlling         = "dotterelridge_controlling"
	TimelineOverwrites  = "dotterelridge_timeline_overwrites_total"
)

// Descriptions lists all metrics in the order in which the page shows them.
var Descriptions = []Description{
	{Requests, Counter, Count, []string{"status"}, "Requests by status; 499 if the caller went away. A stream that fails later counts with the status of its error event."},
	{Refusals, Counter, Count, []string{"reason"}, "Refused requests by reason, the suffix of the problem type."},
	{InRateRefusals, Counter, Count, []string{"account"}, "Requests refused with over-rate although the holders of the account's shares together had the tokens, by their last reports."},
	{QueueWait, Histogram, Seconds, []string{"priority"}, "Time from a request's arrival until it has its tokens and its turn."},
	{Queued, Gauge, Count, nil, "Requests that are queued now."},
	{QueuedBytes, Gauge, Bytes, nil, "Memory of the requests that are queued now."},
	{TimeToFirstToken, Histogram, Seconds, nil, "Time from a request's arrival to its first token, if this VM knew a loaded replica at the arrival."},
	{InterTokenLatency, Histogram, Seconds, nil, "Time between consecutive tokens of a stream."},
	{ColdStartWait, Histogram, Seconds, nil, "Time from a request's arrival to its dispatch, if this VM knew no loaded replica at the arrival."},
	{ServedTokens, Counter, Tokens, []string{"account"}, "Prompt and completion tokens served."},
	{Loads, Counter, Count, []string{"result"}, "Loads of models and adapters on runners owned by this VM by result: loaded or failed."},
	{LoadTime, Histogram, Seconds, nil, "Time from the order to load a model or adapter until it is loaded."},
	{Evictions, Counter, Count, []string{"cause"}, "Ordered unloads of models and adapters by cause: idle, memory or no-right."},
	{IdleAccelerator, Counter, Seconds, nil, "Time in which runners owned by this VM had a model loaded and ran nothing, summed over runners."},
	{BorrowedTokens, Counter, Tokens, []string{"account"}, "Tokens borrowed from share holders."},
	{ReturnedTokens, Counter, Tokens, []string{"account"}, "Borrowed tokens that were returned unused."},
	{Retries, Counter, Count, []string{"result"}, "Retries on another backend server by result: allowed or over-budget."},
	{PromptTokens, Counter, Tokens, []string{"belief"}, "Tokens of prompts that engines have begun to answer, by what this VM believed of the engine when it chose it: kept or not-kept. Only where engines keep prompts and the route asks for affinity."},
	{Ejections, Counter, Count, nil, "Backend servers ejected after consecutive failures."},
	{Strikes, Counter, Count, nil, "Requests recorded as suspects because a backend server crashed while running them."},
	{LogAppends, Counter, Count, []string{"stream", "result"}, "Appends to the log by result: appended, failed or unknown."},
	{LogReads, Counter, Count, []string{"stream", "result"}, "Reads of the log by result: read or failed."},
	{FollowerLag, Gauge, Seconds, []string{"stream"}, "Time since the head of the stream was last confirmed, by the log or by a peer."},
	{FollowerOffset, Gauge, Count, []string{"stream"}, "Offset of the last applied record."},
	{ConfigOffset, Gauge, Count, nil, "Offset of the last accepted configuration change."},
	{ConfigChanges, Counter, Count, []string{"result"}, "Configuration changes that this VM read by result: accepted or rejected."},
	{OnceCalls, Counter, Count, []string{"result"}, "Calls with an Idempotency-Key by result: granted, replayed, or the suffix of the problem type."},
	{Peers, Gauge, Count, []string{"state"}, "Other entry VMs by the state in which this one sees them."},
	{PeerBytes, Counter, Bytes, []string{"direction"}, "Bytes on the connections with other entry VMs: sent or received, TLS included."},
	{CallerConnections, Gauge, Count, nil, "Connections of callers that are open."},
	{ProcessCPU, Counter, Seconds, nil, "User and system time of this process."},
	{ProcessMemory, Gauge, Bytes, nil, "Memory that the Go runtime holds from the operating system."},
	{ProcessGoroutines, Gauge, Count, nil, "Goroutines of this process."},
	{RequestTime, Histogram, Seconds, []string{"kind"}, "Time from a request's arrival to the end of its answer on an entry VM of edge, by the route's kind: safe, unsafe or stream."},
	{UnreadTime, Histogram, Seconds, nil, "Time that the first data of a request lay unread on an entry VM of edge, which is long if the VM lacks processor time."},
	{AccountClaims, Counter, Count, []string{"basis", "result"}, "Requests charged to a client account with a limit on an entry VM of edge, by the rule that decided (grant, controller, first-comers, saturated, ...) and the result: admitted or refused."},
	{LogLinesDropped, Counter, Count, nil, "Log lines that were dropped because of the permitted rate or a slow reader."},
	{DeploymentAge, Gauge, Seconds, nil, "Time since the store last confirmed the configuration in force."},
	{RunnersAge, Gauge, Seconds, nil, "Time since the store last confirmed the runner table."},
	{KnownRunners, Gauge, Count, nil, "Runners in the runner table."},
	{LeavingRunners, Gauge, Count, []string{"service"}, "Listed runners that have said in an answer to this VM that they leave."},
	{PausedRunners, Gauge, Count, []string{"service"}, "Listed runners that want no requests of this VM for a time."},
	{ColdRunners, Gauge, Count, []string{"service"}, "Listed runners that are cold and get requests with permits only."},
	{LimitedRunners, Gauge, Count, []string{"service"}, "Listed runners that have named how many requests they take, and get requests with permits only."},
	{OutOfServiceZones, Gauge, Count, nil, "Availability zones that are out of service, as this VM knows."},
	{OutOfServiceRunners, Gauge, Count, []string{"service"}, "Listed runners in zones that are out of service."},
	{OutOfServiceRunning, Gauge, Count, []string{"service"}, "Requests of this VM that still run in zones that are out of service."},
	{MalformedStatements, Counter, Count, nil, "Headers in which a runner speaks of itself and that have no valid value."},
	{Controlling, Gauge, Count, nil, "1 while this VM is the controller, else 0."},
	{TimelineOverwrites, Counter, Count, nil, "Events that left the time line because its ring was full."},
}
