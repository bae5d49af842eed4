package drcapacity

// Sizes of section 1.7 of docs/design.md.
const (
	targetVMs      = 410
	targetRunners  = 3700
	targetModels   = 240
	targetAdapters = 3100
	targetRequests = 31000.0 // per second
	targetTokens   = 8.7e6   // per second
	targetChanges  = 20000.0 / secondsPerDay
	// targetFailures and targetRestarts are VMs of all kinds per second that
	// fail or are replaced.
	targetFailures = 74.0 / secondsPerDay
	targetRestarts = 330.0 / secondsPerDay
	// targetLoadChanges is models and adapters per second that become active or
	// idle.
	targetLoadChanges = 0.49 * (targetModels + targetAdapters) / 3600
)

const secondsPerDay = 86400.0

// Assumed sizes that section 1.7 does not give.
const (
	// assumedAccounts and assumedKeys are the sizes of drconfig's benchmark.
	assumedAccounts = 1000.0
	assumedKeys     = 10000.0
	// assumedActive is the client accounts that one entry VM serves at a time.
	assumedActive = 50.0
	// assumedCalls is keyed calls per second over all VMs, a small part of the
	// requests, since orders and bookings are rare next to questions.
	assumedCalls = 10.0
	// assumedSelectors is the fraction of the changes that touch a selector.
	assumedSelectors = 0.1
	// retentionSeconds is the default retention in seconds, of which dridempotency.Window
	// keeps nine tenths.
	retentionSeconds = secondsPerDay
	// assumedListChanges is how often the list changes for each VM that is
	// replaced: leaving, gone, and new.
	assumedListChanges = 3.0
	// assumedBlocks is prefix blocks cached by one engine, as in the stand-in.
	assumedBlocks = 1024.0
)

// Bounds of the control cost of a node.
const (
	boundCPU    = 1.5      // percent of a core
	boundMemory = 32 << 20 // bytes
	boundBytes  = 6000.0   // bytes per second
)
