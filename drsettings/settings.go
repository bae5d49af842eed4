// Package drsettings loads and validates the settings of the serve command. Each
// process has one settings file in JSON with comments.
package drsettings

//go:generate go test -run TestReference -update .

import "github.com/dotterelridge/dotterelridge/drjson"

// Settings are the settings of one entry VM. The doc tags are the descriptions in
// docs/settings.md.
type Settings struct {
	VM               string          `json:"vm" doc:"Unique name of this VM, as in the platform's VM list. Required."`
	Zone             string          `json:"zone" doc:"Availability zone of this VM. Required."`
	Addresses        Addresses       `json:"addresses" doc:"Addresses that this process listens on, as IP:PORT."`
	LogAddress       string          `json:"log-address" doc:"Address of the platform's append-only log, as IP:PORT. Required."`
	VMListAddress    string          `json:"vm-list-address" doc:"Address of the platform's VM list, as IP:PORT. Required."`
	Seeds            []string        `json:"seeds" doc:"Peer addresses of other entry VMs, as IP:PORT, used until the VM list can be read."`
	Secret           Secret          `json:"deployment-secret" doc:"Secret under which callers' keys are hashed; the same on all VMs. Required, at least 16 bytes."`
	OperatorTokens   []OperatorToken `json:"operator-tokens" doc:"Tokens that admit operators to the admin listener. Without any, the admin listener accepts no changes."`
	TLS              TLS             `json:"tls" doc:"Encryption of all listeners."`
	DrainNotice      drjson.Duration `json:"drain-notice" doc:"Time between reporting not ready and closing the listeners, in which the balancer takes this VM out."`
	ServeWithoutLog  drjson.Duration `json:"serve-without-log" doc:"How long requests are served while the log is down for all VMs."`
	Retention        drjson.Duration `json:"retention" doc:"How long the log keeps records. Bounds the deduplication window and sets the interval of snapshots. At least 1m."`
	WeightStoreLoads float64         `json:"weight-store-loads" doc:"Loads per second that the weight store allows over the whole fleet; 0 for no bound beyond 4 at once."`
	Limits           Limits          `json:"limits" doc:"Bounds on the memory that callers can take."`
	LogLevel         string          `json:"log-level" doc:"Lowest level of logged events: debug, info, warn or error."`
	TimelineEvents   int             `json:"timeline-events" doc:"Number of events that the time line of this process keeps. 16 to 1048576."`
}

// Addresses are the addresses, as IP:PORT, on which an entry VM listens.
type Addresses struct {
	Callers string `json:"callers" doc:"Listener for callers, behind the platform's balancer. Required."`
	Peers   string `json:"peers" doc:"Listener for other entry VMs; they connect to this address, so it names an IP. Required."`
	Admin   string `json:"admin" doc:"Listener for operators, health checks and metrics. Required."`
}

// TLS names the files of this VM's certificate, or states with Plain that connections
// are not encrypted.
type TLS struct {
	CertFile     string `json:"cert-file" doc:"Certificate chain in PEM. Relative paths start at the folder of the settings file."`
	KeyFile      string `json:"key-file" doc:"Private key in PEM."`
	ClientCAFile string `json:"client-ca-file" doc:"Authorities in PEM that sign the certificates of peers and operators; required with cert-file."`
	Plain        bool   `json:"plain" doc:"Do not encrypt. Must be stated when there is no certificate."`
}

// Limits bounds the memory and connections of this process that callers can use.
type Limits struct {
	MaxBody     drjson.Size `json:"max-body" doc:"Largest request body; larger ones get status 413."`
	QueueBytes  drjson.Size `json:"queue-bytes" doc:"Memory of all queued requests together; beyond it requests get status 429. At least max-body."`
	Connections int         `json:"connections" doc:"Connections of callers that are open at once. At least 1."`
}
