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
	// KeyPrefix is the prefix of every generated key. It lets secret scanners find
	// leaked keys.
	KeyPrefix = "drk_"
	// keyBytes is the number of random bytes in a key, enough to make guessing
	// one infeasible.
	keyBytes = 32
	hashSize = sha256.Size
)

// NewKey returns a new random key for a caller. The key itself is not stored; its
// HashKey goes into the declared Key.
func NewKey() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
}

// HashKey returns the HMAC-SHA-256 of the key under the deployment secret, in hex as
// in Key.Hash.
func HashKey(secret []byte, key string) string {
	h := hashKey(secret, key)
	return hex.EncodeToString(h[:])
}

// hashKey returns the HMAC-SHA-256 of the key under the deployment secret.
func hashKey(secret []byte, key string) (h [hashSize]byte) {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	mac.Sum(h[:0])
	return h
}

// Authenticate returns the declared key that matches the key presented by a caller,
// false if there is none. Its running time does not reveal how much of a presented key
// is right: only the keyed hash is looked up, which a caller without the secret cannot
// control, and the final comparison takes constant time.
func (c Config) Authenticate(key string, secret []byte) (Key, bool) {
	h := hashKey(secret, key)
	k, ok := c.keys[c.keyIDByHash[h]]
	want, valid := k.hash()
	if !ok || !valid || subtle.ConstantTimeCompare(want[:], h[:]) != 1 {
		return Key{}, false
	}
	return k, true
}

// hash returns the decoded Hash, false if it is malformed.
func (k Key) hash() (h [hashSize]byte, ok bool) {
	if len(k.Hash) != 2*hashSize {
		return h, false
	}
	_, err := hex.Decode(h[:], []byte(k.Hash))
	return h, err == nil
}
