package drconfig

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
)

const (
	// KeyPrefix starts every generated key, so that secret scanners can find
	// leaked ones.
	KeyPrefix = "drk_"
	// keyBytes of randomness make guessing a key infeasible.
	keyBytes = 32
	hashSize = sha256.Size
)

// NewKey returns a random key for a caller. Only its HashKey is declared.
func NewKey() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// HashKey returns the hex HMAC-SHA-256 of the key under the deployment secret.
func HashKey(secret []byte, key string) string {
	h := hashKey(secret, key)
	return hex.EncodeToString(h[:])
}

func hashKey(secret []byte, key string) (h [hashSize]byte) {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	mac.Sum(h[:0])
	return h
}

// Authenticate returns the declared key that a caller presents. Its time does
// not depend on how much of the key is right: only the keyed hash is looked
// up, which a caller without the secret cannot steer, and the final comparison
// takes constant time.
func (c Config) Authenticate(key string, secret []byte) (Key, bool) {
	h := hashKey(secret, key)
	k, ok := c.keys[c.keyIDByHash[h]]
	want, valid := k.hash()
	if !ok || !valid || subtle.ConstantTimeCompare(want[:], h[:]) != 1 {
		return Key{}, false
	}
	return k, true
}

// hash decodes the declared hash, false if it is malformed.
func (k Key) hash() (h [hashSize]byte, ok bool) {
	if len(k.Hash) != 2*hashSize {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(k.Hash))
	return h, err == nil
}
