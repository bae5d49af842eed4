package drserve

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// certificateCheckPeriod is how often, at most, the certificate file is checked for
// changes.
const certificateCheckPeriod = time.Second

// reloadingCertificate is a certificate that is read again when its file changes, so
// that certificates can be rotated without a restart and without closing
// connections. It is safe for concurrent use.
type reloadingCertificate struct {
	clock             drclock.Clock
	certFile, keyFile string

	mu       sync.Mutex
	loaded   *tls.Certificate
	modified time.Time
	checked  time.Time
}

// current returns the certificate to use now. If changed files cannot be read, the
// previous certificate stays in use.
func (c *reloadingCertificate) current() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded != nil && c.clock.Since(c.checked) < certificateCheckPeriod {
		return c.loaded, nil
	}
	c.checked = c.clock.Now()
	info, err := os.Stat(c.certFile)
	if err == nil && c.loaded != nil && info.ModTime().Equal(c.modified) {
		return c.loaded, nil
	}
	pair, loadErr := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if loadErr != nil {
		if c.loaded != nil {
			return c.loaded, nil
		}
		return nil, loadErr
	}
	c.loaded = &pair
	if err == nil {
		c.modified = info.ModTime()
	}
	return c.loaded, nil
}

// tlsConfigs holds the TLS configurations of the three listeners, and of outgoing
// connections to other entry VMs in dial. All are nil if TLS is turned off.
// Operators and other entry VMs must present a client certificate, callers need
// none.
type tlsConfigs struct {
	callers, operators, peers, dial *tls.Config
}

func newTLSConfigs(settings drsettings.TLS, clock drclock.Clock) (tlsConfigs, error) {
	if settings.Plain {
		return tlsConfigs{}, nil
	}
	cert := &reloadingCertificate{clock: clock, certFile: settings.CertFile, keyFile: settings.KeyFile}
	if _, err := cert.current(); err != nil {
		return tlsConfigs{}, err
	}
	pem, err := os.ReadFile(settings.ClientCAFile)
	if err != nil {
		return tlsConfigs{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tlsConfigs{}, fmt.Errorf("client CA file %s contains no valid PEM certificate", settings.ClientCAFile)
	}
	server := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.current() },
	}
	mutual := server.Clone()
	mutual.ClientAuth, mutual.ClientCAs = tls.RequireAndVerifyClientCert, pool
	dial := &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert.current() },
	}
	return tlsConfigs{callers: server, operators: mutual, peers: mutual, dial: dial}, nil
}
