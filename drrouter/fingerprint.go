package drrouter

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies a request by its client account, target and body, so
// that a resend has the same fingerprint as the request it repeats.
type Fingerprint [16]byte

// NewFingerprint hashes the parts of a request. Target is the model and
// adapter, or the method and path.
func NewFingerprint(account, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{account, target} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:16])
}
