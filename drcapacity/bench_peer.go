package drcapacity

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"net"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/dotterelridge/dotterelridge/drnet"
	"github.com/dotterelridge/dotterelridge/drpeer"
)

const echoMethod = "Echo"

// peerNet is a set of nodes on loopback addresses that echo the calls they
// receive.
type peerNet struct {
	dialer    *drnet.Dialer
	addresses map[string]string
	nodes     []*drpeer.Node
	servers   []*drnet.Server
}

// newPeerNet starts n nodes "p0", "p1" and so on. Without a TLS configuration the
// connections are plain TCP.
func newPeerNet(n int, config *tls.Config) (*peerNet, error) {
	w := &peerNet{addresses: make(map[string]string)}
	var err error
	if w.dialer, err = drnet.NewDialer(drnet.Config{Loops: 1, TLS: config}); err != nil {
		return nil, err
	}
	for i := range n {
		vm := fmt.Sprint("p", i)
		node := w.node(vm)
		node.Handle(echoMethod, func(_ context.Context, _ drpeer.Sender, body []byte) (proto.Message, error) {
			return wrapperspb.Bytes(body), nil
		})
		s, err := drnet.Listen(drnet.Config{Address: fmt.Sprintf("127.0.1.%d:0", i+1), Handler: node.ServeConn, Loops: 1, TLS: config})
		if err != nil {
			return nil, errors.Join(err, w.close())
		}
		w.nodes, w.servers = append(w.nodes, node), append(w.servers, s)
		w.addresses[vm] = s.Addr().String()
	}
	return w, nil
}

func (w *peerNet) node(vm string) *drpeer.Node {
	return drpeer.New(drpeer.Config{VM: vm, Incarnation: 1, Dialer: w.dialer, Addresses: func(vm string) (string, bool) {
		a, ok := w.addresses[vm]
		return a, ok
	}})
}

func (w *peerNet) close() error {
	for _, n := range w.nodes {
		n.Close()
	}
	for _, s := range w.servers {
		_ = s.Close(context.Background())
	}
	w.dialer.Close()
	return nil
}

// peers measures calls by the size of their bodies, new sessions, and the
// memory of open sessions. The figures include both ends of each connection,
// because both run in this process.
func (b *bench) peers() error {
	w, err := newPeerNet(1, nil)
	if err != nil {
		return err
	}
	defer w.close()
	ctx := context.Background()
	client := w.node("client")
	defer client.Close()
	for _, n := range []int{16, 256, 1024, 4096} {
		req := wrapperspb.Bytes(make([]byte, n))
		if err := b.cpu("peer-call", "peer-call-bytes", "bytes", float64(n), func() error {
			return client.Call(ctx, "p0", echoMethod, req, nil)
		}); err != nil {
			return err
		}
	}
	if err := b.openSessions(); err != nil {
		return err
	}
	config, err := peerTLS()
	if err != nil {
		return err
	}
	if err := b.newSessions("open-session", nil); err != nil {
		return err
	}
	return b.newSessions("open-tls-session", config)
}

// openSessions measures the memory of n open sessions, including both ends of
// each.
func (b *bench) openSessions() error {
	for _, n := range []int{4, 16, 64} {
		w, err := newPeerNet(n, nil)
		if err != nil {
			return err
		}
		b.memory("session-memory", "sessions", float64(n), func() any {
			c := w.node("client")
			for i := range n {
				if cerr := c.Call(context.Background(), fmt.Sprint("p", i), echoMethod, wrapperspb.Bytes(nil), nil); cerr != nil {
					err = cerr
				}
			}
			w.nodes = append(w.nodes, c)
			return c
		})
		if err := errors.Join(err, w.close()); err != nil {
			return err
		}
	}
	return nil
}

// newSessions measures opening a session with each of n nodes and making one
// call on it.
func (b *bench) newSessions(name string, config *tls.Config) error {
	for _, n := range []int{4, 16, 64} {
		w, err := newPeerNet(n, config)
		if err != nil {
			return err
		}
		err = b.cpu(name, name+"-bytes", "sessions", float64(n), func() error {
			c := w.node("client")
			defer c.Close()
			for i := range n {
				if err := c.Call(context.Background(), fmt.Sprint("p", i), echoMethod, wrapperspb.Bytes(nil), nil); err != nil {
					return err
				}
			}
			return nil
		})
		if err := errors.Join(err, w.close()); err != nil {
			return err
		}
	}
	return nil
}

// peerTLS returns a TLS configuration with mutual authentication, as entry VMs
// use it, and a new self-signed certificate.
func peerTLS() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: peerAddresses(), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// peerAddresses returns the addresses of the nodes. Each node has its own, because
// TLS clients resume sessions by address.
func peerAddresses() []net.IP {
	var ips []net.IP
	for i := range 64 {
		ips = append(ips, net.IPv4(127, 0, 1, byte(i+1)))
	}
	return ips
}
