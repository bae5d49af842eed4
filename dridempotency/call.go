package dridempotency

import (
	"bytes"

	"github.com/dotterelridge/dotterelridge/drpb"
)

// Call identifies a call that must run at most once.
type Call struct {
	// RequestID appears in events.
	RequestID string
	Account   string
	// Key is the Idempotency-Key.
	Key string
	// Fingerprint is a hash of the request. A key is bound to it.
	Fingerprint []byte
}

func sameFingerprint(intent *drpb.OnceIntent, fingerprint []byte) bool {
	return bytes.Equal(intent.GetFingerprint(), fingerprint)
}
