package drsettings

import (
	"time"

	"github.com/dotterelridge/dotterelridge/drjson"
)

// Default returns the values of the settings that a settings file does not set.
func Default() Settings {
	return Settings{
		DrainNotice:     drjson.Duration(5 * time.Second), // two health checks of the balancer, 2 s apart, plus a margin
		ServeWithoutLog: drjson.Duration(time.Hour),       // see section 3.1 of the design
		Retention:       drjson.Duration(24 * time.Hour),
		Limits: Limits{
			MaxBody:     4 << 20,  // a prompt of about a million tokens
			QueueBytes:  64 << 20, // small entry VMs have a few hundred MB of memory
			Connections: 10_000,
		},
		LogLevel:       "info",
		TimelineEvents: 4096,
	}
}
