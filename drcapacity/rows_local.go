package drcapacity

// localRows returns the rows of the roles that send nothing over the network.
func (m *model) localRows() []Row {
	busy := m.fitFleets("busy", vmCount, cpuOfRoles("queues"))
	base := m.fitFleets("idle", vmCount, func(fleet Fleet) float64 { return fleet.Memory })
	events := targetLoadChanges + 10
	return []Row{
		{
			Role: "queues", State: "240 queues with their flows; waiting requests belong to the requests",
			CPU: max(0, busy.At(16)), Error: busy.Error(16), Memory: m.valueAt("queue-memory", targetModels),
			Formula:   "measured in the busy fleets, which use few models; memory(240 models)",
			Mechanism: "A review of all queues in use each 100 ms.",
		},
		{
			Role: "router", State: "ejections, retry budget, dispatch windows (not measured)",
			Formula: "no work without requests", Mechanism: "All its work belongs to requests.",
		},
		{
			Role: "gate", State: "callers' connections (the table of requests)",
			Formula: "no work without requests", Mechanism: "All its work belongs to requests.",
		},
		{
			Role: "time line", State: "the last 4,096 events",
			Messages: 0, CPU: percent(events * m.valueAt("timeline-record", 16)), Memory: m.valueAt("timeline-memory", 4096),
			Formula: "events/s × record; memory(4,096)", Mechanism: "A ring; 10 events/s are assumed besides wake-ups.",
		},
		{
			Role: "metrics", State: "6 histograms with 3 priorities, and counters",
			Memory:    m.valueAt("metric-memory", 8),
			Formula:   "memory(8 histogram series)",
			Mechanism: "No series bears a model's or an account's name except counters.",
		},
		{
			Role: "process", State: "runtime, listeners, goroutines, buffers of an idle VM",
			Memory: max(0, base.Intercept), Formula: "intercept of the idle fleets' memory",
			Mechanism: "Live heap and stacks of an idle VM with today's declarations; contains the small part of the rows above.",
		},
	}
}

// rows returns the rows of all roles in the order of the page.
func (m *model) rows() []Row {
	return append(append(m.stateRows(), m.peerRows()...), m.localRows()...)
}
