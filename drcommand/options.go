package drcommand

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/dotterelridge/dotterelridge/dradmin"
	"github.com/dotterelridge/dotterelridge/drtimeline"
)

// Defaults and limits of the options.
const (
	defaultAdmin     = "http://127.0.0.1:9090"
	defaultWait      = 13 * time.Second // within this time a change is in force on all live entry VMs
	defaultTimeout   = 20 * time.Second
	defaultLoadRate  = 50.0
	defaultLoadFor   = 10 * time.Second
	maxPaths         = 1000                  // files and folders that one command accepts
	tokenEnvironment = "DOTTERELRIDGE_TOKEN" // an environment variable keeps the token out of process lists
)

// newFlags returns the flag set of the named subcommand. Its usage text goes to
// standard error and shows arguments as the positional arguments.
func newFlags(env environment, name, arguments string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(env.stderr)
	fs.Usage = func() {
		fmt.Fprintf(env.stderr, "usage: dotterelridge %s [options] %s\n\noptions:\n", name, arguments)
		fs.PrintDefaults()
	}
	return fs
}

// parse parses args and checks the number of positional arguments. Its errors wrap
// errUsage, except flag.ErrHelp, which is returned as it is.
func parse(fs *flag.FlagSet, args []string, minArgs, maxArgs int) error {
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if n := fs.NArg(); n < minArgs || n > maxArgs {
		fs.Usage()
		return fmt.Errorf("%w: %d arguments given", errUsage, n)
	}
	return nil
}

// adminOptions are the options of commands that call an admin server.
type adminOptions struct {
	address string
	token   string
	timeout time.Duration
	// PEM files for an https address; empty if not given.
	caFile, certFile, keyFile string
}

func (o *adminOptions) register(fs *flag.FlagSet) {
	fs.StringVar(&o.address, "admin", defaultAdmin, "address of the admin server of any entry VM")
	fs.StringVar(&o.token, "token", "", "operator token; taken from $"+tokenEnvironment+" if empty")
	fs.StringVar(&o.caFile, "ca", "", "authorities of the admin servers in PEM, for an https address")
	fs.StringVar(&o.certFile, "cert", "", "certificate of the operator in PEM, for an https address")
	fs.StringVar(&o.keyFile, "key", "", "private key of the operator in PEM, for an https address")
	fs.DurationVar(&o.timeout, "timeout", defaultTimeout, "give up after this time")
}

// client returns a client of the admin server. Without -token it takes the token from
// the environment variable tokenEnvironment.
func (o *adminOptions) client() (*dradmin.Client, error) {
	if o.token == "" {
		o.token = os.Getenv(tokenEnvironment)
	}
	if o.caFile == "" && o.certFile == "" && o.keyFile == "" {
		return dradmin.NewClient(o.address, o.token), nil
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13}
	if o.caFile != "" {
		pem, err := os.ReadFile(o.caFile)
		if err != nil {
			return nil, err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s contains no PEM certificate", o.caFile)
		}
	}
	if o.certFile != "" || o.keyFile != "" {
		pair, err := tls.LoadX509KeyPair(o.certFile, o.keyFile)
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return dradmin.NewTLSClient(o.address, o.token, c), nil
}

// timeFlag is a flag.Value that accepts an RFC 3339 time or a duration before now, and
// stores the time in dest.
type timeFlag struct {
	dest *time.Time
	now  func() time.Time
}

// String implements flag.Value. It returns an empty string if no time is set, also for
// the zero timeFlag that package flag creates.
func (v timeFlag) String() string {
	if v.dest == nil || v.dest.IsZero() {
		return ""
	}
	return v.dest.Format(time.RFC3339Nano)
}

// Set implements flag.Value. It changes dest only if s is valid.
func (v timeFlag) Set(s string) error {
	if d, err := time.ParseDuration(s); err == nil {
		*v.dest = v.now().Add(-d)
		return nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return fmt.Errorf("%q is neither an RFC 3339 time nor a duration", s)
	}
	*v.dest = t
	return nil
}

// registerFilter defines the flags that select events of the timeline.
func registerFilter(fs *flag.FlagSet, filter *drtimeline.Filter, now func() time.Time) {
	fs.StringVar(&filter.RequestID, "request-id", "", "only events of this request")
	fs.StringVar(&filter.Account, "account", "", "only events of this client account")
	fs.StringVar(&filter.Model, "model", "", "only events of this model")
	fs.Var(timeFlag{&filter.From, now}, "from", "only events from this time: RFC 3339, or a duration before now such as 5m")
	fs.Var(timeFlag{&filter.To, now}, "to", "only events before this time")
}
