package dridempotency

import (
	"bytes"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// Call identifies a call that must run at most once.
type Call struct {
	// RequestID identifies the HTTP request in events; it may be empty. It has
	// no effect on the reservation.
	RequestID string
	Account   string
	// Key is the value of the Idempotency-Key header, unique per Account.
	Key string
	// Fingerprint is a hash of the request. Another request with the same key
	// but a different fingerprint is refused.
	Fingerprint []byte
}

func sameFingerprint(intent *drpb.OnceIntent, fingerprint []byte) bool {
	return bytes.Equal(intent.GetFingerprint(), fingerprint)
}
