package drnet

import "sync/atomic"

// Traffic counts the bytes that connections read from and write to their
// sockets. TLS handshakes and records are included, TCP headers are not. The
// zero value is ready, and it is safe for concurrent use.
type Traffic struct {
	sent, received atomic.Int64
}

// Sent returns the number of bytes that the kernel took for sending.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received, whether or not they were read.
func (t *Traffic) Received() int64 { return t.received.Load() }

// addSent counts n bytes. A nil Traffic counts nothing.
func (t *Traffic) addSent(n int) {
	if t != nil {
		t.sent.Add(int64(n))
	}
}

// addReceived counts n bytes. A nil Traffic counts nothing.
func (t *Traffic) addReceived(n int) {
	if t != nil {
		t.received.Add(int64(n))
	}
}
