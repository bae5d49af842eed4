// Package drrequest identifies requests by what they ask for.
package drrequest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by its client account, target and body. A
// resend has the same fingerprint as the request that it repeats.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// NewPartFingerprint identifies a part of prompts by its id. It differs from the
// fingerprints of all requests.
func NewPartFingerprint(id string) Fingerprint { return NewFingerprint("", "prompt-part", []byte(id)) }

// NewFingerprint hashes the parts of a request. The target is the model and
// adapter of a generation, or the method and path of a call. Account and target
// are hashed with their lengths, so that moving bytes from one to the other
// changes the fingerprint.
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
