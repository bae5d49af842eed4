package drcommand

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// certificateAuthority issues certificates for 127.0.0.1 and keeps them as PEM files
// in folder.
type certificateAuthority struct {
	t      *testing.T
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

func newCertificateAuthority(t *testing.T) *certificateAuthority {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	a := &certificateAuthority{t: t, folder: t.TempDir(), key: key, serial: 1}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	a.cert, err = x509.ParseCertificate(der)
	is.NoErr(err)
	a.writePEM("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *certificateAuthority) filePath(name string) string { return filepath.Join(a.folder, name) }

func (a *certificateAuthority) writePEM(name, blockType string, der []byte) {
	var b bytes.Buffer
	is := is.New(a.t)
	is.NoErr(pem.Encode(&b, &pem.Block{Type: blockType, Bytes: der}))
	is.NoErr(os.WriteFile(a.filePath(name), b.Bytes(), 0o600))
}

// issue creates a certificate, writes it and its key to NAME.pem and NAME-key.pem, and
// returns its serial number.
func (a *certificateAuthority) issue(name string) int64 {
	is := is.New(a.t)
	a.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	der, err := x509.CreateCertificate(rand.Reader, &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	a.writePEM(name+"-key.pem", "EC PRIVATE KEY", private)
	a.writePEM(name+".pem", "CERTIFICATE", der)
	return a.serial
}

// clientConfig returns a client configuration that trusts the authority. Unless name
// is empty, the client presents the certificate NAME.pem.
func (a *certificateAuthority) clientConfig(name string) *tls.Config {
	is := is.New(a.t)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	c := &tls.Config{RootCAs: pool}
	if name != "" {
		pair, err := tls.LoadX509KeyPair(a.filePath(name+".pem"), a.filePath(name+"-key.pem"))
		is.NoErr(err)
		c.Certificates = []tls.Certificate{pair}
	}
	return c
}

// servedSerial returns the serial number of the certificate that the server at
// address presents on a new connection.
func servedSerial(t *testing.T, address string, clientConfig *tls.Config) int64 {
	is := is.New(t)
	conn, err := tls.Dial("tcp", address, clientConfig)
	is.NoErr(err)
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against listeners that accept plain connections although a certificate is
// set, operators and peers that are admitted without a certificate, and a
// certificate rotation that needs a restart or cuts running streams.
func TestTLS(t *testing.T) {
	is := is.New(t)
	ca := newCertificateAuthority(t)
	firstSerial := ca.issue("vm")
	ca.issue("operator")
	deployment := drdemo.Deployments()["fjordsnor"]
	platform, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: deployment, TokenInterval: 20 * time.Millisecond})
	is.NoErr(err)
	defer platform.Close()
	cluster, err := drdemo.NewCluster(t.Context(), drdemo.ClusterConfig{
		Deployment: deployment, Platform: platform, EntryVMs: 2, Clock: drclock.System{}, AdminTLS: ca.clientConfig("operator"),
		TLS: drsettings.TLS{CertFile: ca.filePath("vm.pem"), KeyFile: ca.filePath("vm-key.pem"), ClientCAFile: ca.filePath("ca.pem")},
	})
	is.NoErr(err)
	defer cluster.Close()
	vm := cluster.VMs()[0]
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: ca.clientConfig("")}}
	post := func(tokens string) *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+vm.CallersAddress()+"/v1/completions",
			strings.NewReader(`{"model": "`+loadedModel+`", "prompt": "hei", "stream": true, "max_tokens": `+tokens+`}`))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+demoKey)
		resp, err := client.Do(req)
		is.NoErr(err)
		return resp
	}

	// Callers need no certificate, but a plain HTTP request fails.
	resp := post("120")
	for start := time.Now(); resp.StatusCode != http.StatusOK && time.Since(start) < 10*time.Second; resp = post("120") {
		resp.Body.Close() // refused, as the token buckets of a new deployment are empty
	}
	is.Equal(resp.StatusCode, 200)
	defer resp.Body.Close()
	_, err = http.Get("http://" + vm.CallersAddress() + "/v1/models")
	is.True(err != nil)

	// The certificate is replaced while the stream runs, which takes about 2.4 s
	// (120 tokens, one every 20 ms).
	stream := bufio.NewReader(resp.Body)
	_, err = stream.ReadString('\n')
	is.NoErr(err)
	is.Equal(servedSerial(t, vm.CallersAddress(), ca.clientConfig("")), firstSerial)
	secondSerial := ca.issue("vm")
	for start := time.Now(); servedSerial(t, vm.CallersAddress(), ca.clientConfig("")) != secondSerial; {
		is.True(time.Since(start) < 5*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	restOfStream, err := io.ReadAll(stream)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(restOfStream), "data: [DONE]\n\n"))

	// Operators and peers are refused without a certificate.
	_, err = (&http.Client{Transport: &http.Transport{TLSClientConfig: ca.clientConfig("")}}).Get("https://" + vm.AdminAddress() + "/healthz")
	is.True(err != nil)
	conn, err := tls.Dial("tcp", vm.Settings.Addresses.Peers, ca.clientConfig(""))
	if err == nil { // TLS 1.3 reports the missing certificate only with the first read
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	is.True(err != nil && strings.Contains(err.Error(), "certificate required"))

	// The two VMs reach each other over mutual TLS.
	inForce, err := cluster.Admin(vm).InForce(t.Context())
	is.NoErr(err)
	is.Equal(len(inForce.VMs), 2)
	for _, x := range inForce.VMs {
		is.Equal(x.Error, "")
	}
	var out, errOut bytes.Buffer
	code := Run([]string{
		"status", "-admin", "https://" + vm.AdminAddress(), "-token", operatorToken,
		"-ca", ca.filePath("ca.pem"), "-cert", ca.filePath("operator.pem"), "-key", ca.filePath("operator-key.pem"),
	}, &out, &errOut)
	is.Equal(errOut.String(), "")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out.String(), "ferje-entry-2"))
}
