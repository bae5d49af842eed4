// Package dredge runs one entry VM of a fleet. The platform's store holds the
// deployment, the runners' entries and the controller's lease.
package dredge

//go:generate go test -run TestReference -update .

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/dotterelridge/dotterelridge/drjson"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// Settings configures one entry VM. The doc tags are the text of the reference
// page.
type Settings struct {
	VM           string            `json:"vm" doc:"Unique name of this VM. Required."`
	Zone         string            `json:"zone" doc:"Availability zone of this VM. Required."`
	Addresses    Addresses         `json:"addresses" doc:"Addresses that this process listens on, as IP:PORT."`
	Regions      map[string]string `json:"regions" doc:"Region of each availability zone, by zone. Requests with home regions reach no runner in a zone that is not listed."`
	StoreAddress string            `json:"store-address" doc:"Address of the platform's store, as IP:PORT. Required."`
	Revocation   drjson.Duration   `json:"revocation" doc:"Time after which a withdrawn key must not work any more. A VM that has not confirmed its configuration for a second less refuses requests with a key. At least 2s."`
	Propagation  drjson.Duration   `json:"config-propagation" doc:"Time within which a change of the configuration must be followed. A VM that has heard nothing for three quarters of it reads the store itself. At least 500ms."`
	RunnerDrain  drjson.Duration   `json:"runner-drain" doc:"Time within which the leaving of a runner must be followed; as for config-propagation. At least 500ms."`
	ZoneDrain    drjson.Duration   `json:"zone-drain" doc:"Time within which an availability zone that was taken out of service must get no more requests; 0 for no bound. As for config-propagation and, for requests with a key, as for revocation. 0 or at least 2s."`
	Heartbeat    drjson.Duration   `json:"runner-heartbeat" doc:"Interval at which runners write their entries to the store. An entry that is removed sooner than three intervals after it was written has not expired: its runner has left. At least 100ms."`
	GracePeriod  drjson.Duration   `json:"grace-period" doc:"Time between SIGTERM and the end of the process. At least 2s."`
	ColdOverage  float64           `json:"cold-overage" doc:"Multiple of the requests per second that the configuration states for cold runners, over all VMs, within which they must stay in each second. At least 0."`
	ColdSlack    float64           `json:"cold-slack" doc:"Requests by which that may be exceeded in one second, over all VMs. At least 0."`
	RetryBudget  RetryBudget       `json:"retry-budget" doc:"Bounds on requests that are sent to a runner more than once, over all VMs."`
	QuotaSlack   float64           `json:"quota-slack" doc:"Tokens by which a client account may exceed its limit, over all VMs. VMs that reach no controller use a part of it."`
	OrderPause   drjson.Duration   `json:"order-pause" doc:"Time within which two VMs must not send orders to runners in turn. A VM that becomes the controller again after another one had a short term sends none for so long."`
	Processor    float64           `json:"processor-share" doc:"Part of a core that this process may use. VMs with more of it take the controller's lease first. Above 0."`
	Descriptors  int               `json:"descriptor-limit" doc:"File descriptors that this process may open, of which callers' connections take up to 0.45; 0 for no bound on connections."`
	MemoryLimit  drjson.Size       `json:"memory-limit" doc:"Soft limit of the process's memory; 0 for none."`
	LogLevel     string            `json:"log-level" doc:"Lowest level of logged events: debug, info, warn or error."`
}

// Addresses holds the addresses of an entry VM's listeners.
type Addresses struct {
	Callers   string `json:"callers" doc:"Listener for callers, behind the platform's balancer. Required."`
	Readiness string `json:"readiness" doc:"Listener for the platform's readiness checks. Required."`
	Peers     string `json:"peers" doc:"Listener for other entry VMs. Required."`
	// PeersAdvertised differs from Peers only behind network address
	// translation.
	PeersAdvertised string `json:"peers-advertised" doc:"Address under which other entry VMs reach the peers listener; that of the listener if empty."`
	Metrics         string `json:"metrics" doc:"Listener for metrics; none if empty."`
}

// freshness returns the age of the configuration, and with it of the zones out of
// service, above which this VM refuses requests with a key.
func (s Settings) freshness() time.Duration {
	bound := s.Revocation
	if s.ZoneDrain > 0 {
		bound = min(bound, s.ZoneDrain)
	}
	return time.Duration(bound) - revocationMargin
}

// RetryBudget limits the retries of one service, over all VMs together.
type RetryBudget struct {
	Share  float64         `json:"share" doc:"Retries per request."`
	Extra  float64         `json:"extra" doc:"Retries in one window beyond the share, over all VMs."`
	Window drjson.Duration `json:"window" doc:"The window. At least 1s."`
}

// Default returns the settings that apply where a file sets nothing. Required
// settings are empty.
func Default() Settings {
	return Settings{
		Revocation:  drjson.Duration(5 * time.Second),
		Propagation: drjson.Duration(2 * time.Second),
		RunnerDrain: drjson.Duration(2 * time.Second),
		Heartbeat:   drjson.Duration(1200 * time.Millisecond),
		GracePeriod: drjson.Duration(8 * time.Second),
		RetryBudget: RetryBudget{Share: 0.2, Extra: 100, Window: drjson.Duration(10 * time.Second)},
		ColdOverage: 1,
		Processor:   1,
		MemoryLimit: 96 << 20,
		LogLevel:    "info",
	}
}

// Reference returns the text of docs/settings-edge.md, generated from the doc
// tags and the defaults.
func Reference() string { return drsettings.Page("edge", "dredge", Default()) }

const (
	minRevocation  = 2 * time.Second
	minPropagation = 500 * time.Millisecond // of config-propagation and runner-drain
	minHeartbeat   = 100 * time.Millisecond
	minGracePeriod = 2 * time.Second
	minZoneDrain   = 2 * time.Second
	minRetryWindow = time.Second
)

// Load reads a settings file over the defaults and returns all problems found.
// The settings are usable only if there are none.
func Load(path string) (Settings, []drjson.Problem) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []drjson.Problem{{File: path, Reason: "cannot be read: " + err.Error()}}
	}
	return Parse(path, content)
}

// Parse does the same as Load for content that has been read already. path
// only appears in the problems.
func Parse(path string, content []byte) (Settings, []drjson.Problem) {
	root, problems := drjson.Parse(path, content)
	if problems != nil {
		return Settings{}, problems
	}
	settings := Default()
	if problems = root.Decode(&settings); len(problems) > 0 {
		return settings, problems
	}
	check := checker{root: root}
	check.checkSettings(&settings)
	return settings, check.problems
}

// checker collects the problems of decoded settings, with their positions in
// the file.
type checker struct {
	root     drjson.Node
	problems []drjson.Problem
}

func (c *checker) report(path, format string, args ...any) {
	node := c.root
	for _, name := range strings.Split(path, ".") {
		node = node.Find(name)
	}
	c.problems = append(c.problems, node.Problem(path+": "+format, args...))
}

func (c *checker) checkSettings(settings *Settings) {
	if settings.VM == "" {
		c.report("vm", "is required")
	}
	if settings.Zone == "" {
		c.report("zone", "is required")
	}
	c.checkAddress("addresses.callers", settings.Addresses.Callers)
	c.checkAddress("addresses.readiness", settings.Addresses.Readiness)
	c.checkAddress("addresses.peers", settings.Addresses.Peers)
	if settings.Addresses.PeersAdvertised != "" {
		c.checkAddress("addresses.peers-advertised", settings.Addresses.PeersAdvertised)
	}
	if settings.Addresses.Metrics != "" {
		c.checkAddress("addresses.metrics", settings.Addresses.Metrics)
	}
	c.checkAddress("store-address", settings.StoreAddress)
	c.checkMinimum("revocation", settings.Revocation, minRevocation)
	c.checkMinimum("config-propagation", settings.Propagation, minPropagation)
	c.checkMinimum("runner-drain", settings.RunnerDrain, minPropagation)
	if settings.ZoneDrain != 0 {
		c.checkMinimum("zone-drain", settings.ZoneDrain, minZoneDrain)
	}
	c.checkMinimum("runner-heartbeat", settings.Heartbeat, minHeartbeat)
	c.checkMinimum("grace-period", settings.GracePeriod, minGracePeriod)
	c.checkMinimum("retry-budget.window", settings.RetryBudget.Window, minRetryWindow)
	if budget := settings.RetryBudget; budget.Share < 0 || budget.Extra < 0 {
		c.report("retry-budget", "share and extra must not be negative")
	}
	if settings.QuotaSlack < 0 {
		c.report("quota-slack", "must not be negative")
	}
	if settings.ColdOverage < 0 || settings.ColdSlack < 0 {
		c.report("cold-overage", "cold-overage and cold-slack must not be negative")
	}
	if settings.Processor <= 0 {
		c.report("processor-share", "must be above 0")
	}
	if settings.Descriptors < 0 {
		c.report("descriptor-limit", "must not be negative")
	}
	switch settings.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		c.report("log-level", "%q is not debug, info, warn or error", settings.LogLevel)
	}
}

func (c *checker) checkAddress(path, value string) {
	if value == "" {
		c.report(path, "is required")
	} else if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(path, "%q is not IP:PORT", value)
	}
}

func (c *checker) checkMinimum(path string, duration drjson.Duration, minimum time.Duration) {
	if time.Duration(duration) < minimum {
		c.report(path, "%s is less than %s", duration, minimum)
	}
}
