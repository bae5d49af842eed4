package drsettings

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drjson"
)

// Default returns the settings that apply where a file says nothing.
func Default() Settings {
	return Settings{
		DrainNotice:     drjson.Duration(5 * time.Second), // two health checks of a balancer at 2 s, and a margin
		ServeWithoutLog: drjson.Duration(time.Hour),       // section 3.1 of the design
		Retention:       drjson.Duration(24 * time.Hour),
		Limits: Limits{
			MaxBody:     4 << 20,  // about a million tokens of prompt
			QueueBytes:  64 << 20, // small entry VMs have a few hundred MB
			Connections: 10_000,
		},
		LogLevel:       "info",
		TimelineEvents: 4096,
	}
}
