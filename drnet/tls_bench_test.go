package drnet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// BenchmarkRequest measures an HTTP request of 1 KiB with a response of 1 KiB,
// over a kept-alive connection and over a new one each time, with and without
// TLS.
func BenchmarkRequest(b *testing.B) {
	is := is.New(b)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	server := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}}
	body := make([]byte, 1024)
	h := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBody(body) }}
	for name, config := range map[string]*tls.Config{"plain": nil, "tls": server} {
		s, err := Listen(Config{Address: "127.0.0.1:0", TLS: config, Handler: func(c net.Conn) { _ = h.ServeConn(c) }})
		is.NoErr(err)
		scheme := "http://"
		if config != nil {
			scheme = "https://"
		}
		for _, newConnection := range []bool{false, true} {
			sub := name + "/kept-alive"
			if newConnection {
				sub = name + "/new-connection"
			}
			b.Run(sub, func(b *testing.B) {
				c := &fasthttp.HostClient{
					Addr: s.Addr().String(), IsTLS: config != nil, TLSConfig: &tls.Config{RootCAs: pool},
					Dial: func(address string) (net.Conn, error) { return net.Dial("tcp", address) },
				}
				defer c.CloseIdleConnections()
				var req fasthttp.Request
				var resp fasthttp.Response
				req.SetRequestURI(scheme + s.Addr().String() + "/")
				req.Header.SetMethod(fasthttp.MethodPost)
				req.SetBodyRaw(body)
				if newConnection {
					req.SetConnectionClose()
				}
				for b.Loop() {
					if err := c.Do(&req, &resp); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
		ctx := b.Context()
		is.NoErr(s.Close(ctx))
	}
}
