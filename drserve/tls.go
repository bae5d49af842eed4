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

// certificateCheckPeriod is how often the files are examined for a new certificate.
const certificateCheckPeriod = time.Second

// reloadingCertificate is a certificate that is read again when its file changes, so
// that rotation needs no restart and cuts no connection.
type reloadingCertificate struct {
	clock             drclock.Clock
	certFile, keyFile string

	mu       sync.Mutex
	loaded   *tls.Certificate
	modified time.Time
	checked  time.Time
}

// current returns the current certificate. If the new files cannot be read, the
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

// tlsConfigs are the configurations of the listeners and of connections to
// other entry VMs; nil without TLS.
type tlsConfigs struct {
	callers, operators, peers, dial *tls.Config
}

func newTLSConfigs(s drsettings.TLS, c drclock.Clock) (tlsConfigs, error) {
	if s.Plain {
		return tlsConfigs{}, nil
	}
	cert := &reloadingCertificate{clock: c, certFile: s.CertFile, keyFile: s.KeyFile}
	if _, err := cert.current(); err != nil {
		return tlsConfigs{}, err
	}
	pem, err := os.ReadFile(s.ClientCAFile)
	if err != nil {
		return tlsConfigs{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return tlsConfigs{}, fmt.Errorf("%s holds no certificate", s.ClientCAFile)
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
