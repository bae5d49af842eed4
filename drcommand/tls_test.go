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

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/dotterelridge/dotterelridge/drclock"
	"github.com/dotterelridge/dotterelridge/drdemo"
	"github.com/dotterelridge/dotterelridge/drsettings"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t      *testing.T
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
	serial int64
}

func newAuthority(t *testing.T) *authority {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	a := &authority{t: t, folder: t.TempDir(), key: key, serial: 1}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	a.cert, err = x509.ParseCertificate(der)
	is.NoErr(err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) path(name string) string { return filepath.Join(a.folder, name) }

func (a *authority) write(name, kind string, der []byte) {
	var b bytes.Buffer
	is := is.New(a.t)
	is.NoErr(pem.Encode(&b, &pem.Block{Type: kind, Bytes: der}))
	is.NoErr(os.WriteFile(a.path(name), b.Bytes(), 0o600))
}

// issue writes NAME.pem and NAME-key.pem and returns the serial number.
func (a *authority) issue(name string) int64 {
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
	a.write(name+"-key.pem", "EC PRIVATE KEY", private)
	a.write(name+".pem", "CERTIFICATE", der)
	return a.serial
}

// config trusts the authority and presents the certificate, if name is given.
func (a *authority) config(name string) *tls.Config {
	is := is.New(a.t)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	c := &tls.Config{RootCAs: pool}
	if name != "" {
		pair, err := tls.LoadX509KeyPair(a.path(name+".pem"), a.path(name+"-key.pem"))
		is.NoErr(err)
		c.Certificates = []tls.Certificate{pair}
	}
	return c
}

// serialAt returns the serial number of the certificate that a new connection
// is shown.
func serialAt(t *testing.T, address string, c *tls.Config) int64 {
	is := is.New(t)
	conn, err := tls.Dial("tcp", address, c)
	is.NoErr(err)
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// Guards against listeners that speak plainly although a certificate is set,
// operators and peers without a certificate, and a rotation that needs a
// restart or cuts running streams.
func TestTLS(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	first := a.issue("vm")
	a.issue("operator")
	log.SetLevel(log.FatalLevel)
	d := drdemo.Deployments()["fjordsnor"]
	platform, err := drdemo.NewPlatform(drdemo.PlatformConfig{Deployment: d, TokenInterval: 20 * time.Millisecond})
	is.NoErr(err)
	defer platform.Close()
	cluster, err := drdemo.NewCluster(t.Context(), drdemo.ClusterConfig{
		Deployment: d, Platform: platform, EntryVMs: 2, Clock: drclock.System{}, AdminTLS: a.config("operator"),
		TLS: drsettings.TLS{CertFile: a.path("vm.pem"), KeyFile: a.path("vm-key.pem"), ClientCAFile: a.path("ca.pem")},
	})
	is.NoErr(err)
	defer cluster.Close()
	v := cluster.VMs()[0]
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: a.config("")}}
	post := func(tokens string) *http.Response {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+v.CallersAddress()+"/v1/completions",
			strings.NewReader(`{"model": "`+warm+`", "prompt": "hei", "stream": true, "max_tokens": `+tokens+`}`))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+demoKey)
		resp, err := client.Do(req)
		is.NoErr(err)
		return resp
	}

	// Callers need no certificate; plain ones get no answer.
	resp := post("120")
	for start := time.Now(); resp.StatusCode != http.StatusOK && time.Since(start) < 10*time.Second; resp = post("120") {
		resp.Body.Close() // the buckets of a new deployment are empty
	}
	is.Equal(resp.StatusCode, 200)
	defer resp.Body.Close()
	_, err = http.Get("http://" + v.CallersAddress() + "/v1/models")
	is.True(err != nil)

	// The stream lasts about 2.4 s, during which the certificate is replaced.
	stream := bufio.NewReader(resp.Body)
	_, err = stream.ReadString('\n')
	is.NoErr(err)
	is.Equal(serialAt(t, v.CallersAddress(), a.config("")), first)
	second := a.issue("vm")
	for start := time.Now(); serialAt(t, v.CallersAddress(), a.config("")) != second; {
		is.True(time.Since(start) < 5*time.Second)
		time.Sleep(50 * time.Millisecond)
	}
	rest, err := io.ReadAll(stream)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(rest), "data: [DONE]\n\n"))

	// Operators and peers need a certificate.
	_, err = (&http.Client{Transport: &http.Transport{TLSClientConfig: a.config("")}}).Get("https://" + v.AdminAddress() + "/healthz")
	is.True(err != nil)
	conn, err := tls.Dial("tcp", v.Settings.Addresses.Peers, a.config(""))
	if err == nil { // TLS 1.3 reports the missing certificate with the first read
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
	}
	is.True(err != nil && strings.Contains(err.Error(), "certificate required"))

	// The peers have found each other, over mutual TLS.
	inForce, err := cluster.Admin(v).InForce(t.Context())
	is.NoErr(err)
	is.Equal(len(inForce.VMs), 2)
	for _, x := range inForce.VMs {
		is.Equal(x.Error, "")
	}
	var out, errOut bytes.Buffer
	code := Run([]string{
		"status", "-admin", "https://" + v.AdminAddress(), "-token", operator,
		"-ca", a.path("ca.pem"), "-cert", a.path("operator.pem"), "-key", a.path("operator-key.pem"),
	}, &out, &errOut)
	is.Equal(errOut.String(), "")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out.String(), "ferje-entry-2"))
}
