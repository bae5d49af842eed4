package drnet

import "sync/atomic"

// Traffic counts the bytes that connections exchange with the kernel, TLS
// included and TCP headers excluded.
type Traffic struct {
	sent, received atomic.Int64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

func (t *Traffic) addSent(n int) {
	if t != nil {
		t.sent.Add(int64(n))
	}
}

func (t *Traffic) addReceived(n int) {
	if t != nil {
		t.received.Add(int64(n))
	}
}
