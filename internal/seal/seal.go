// Package seal authenticates the messages between hosts with keys that all
// hosts share, and digests what may not be stored in the clear. A list of keys
// allows a rotation: the first seals, all of them open.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"
)

const sealBytes = 16

// SignatureDigits is the length of a seal in hexadecimal digits.
const SignatureDigits = 2 * sealBytes

// Signer seals and checks messages.
type Signer struct {
	keys []*sync.Pool // of hash.Hash, one pool a key
}

// New returns a Sealer with at least one key.
func New(keys ...string) *Signer {
	s := &Signer{}
	for _, key := range keys {
		s.keys = append(s.keys, &sync.Pool{New: func() any { return hmac.New(sha256.New, []byte(key)) }})
	}
	return s
}

// Sign returns the seal of the parts, which it keeps apart from one another.
func (s *Signer) Sign(parts ...[]byte) string {
	return hex.EncodeToString(mac(s.keys[0], parts)[:sealBytes])
}

// Verify reports whether the seal was made with one of the keys.
func (s *Signer) Verify(seal string, parts ...[]byte) bool {
	given, err := hex.DecodeString(seal)
	if err != nil || len(given) != sealBytes {
		return false
	}
	return s.matches(given, parts)
}

// matches reports whether a sum was made of the parts with one of the keys.
func (s *Signer) matches(sum []byte, parts [][]byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(sum, mac(key, parts)[:sealBytes]) {
			return true
		}
	}
	return false
}

// SignDatagram returns a datagram: the body after its seal.
func (s *Signer) SignDatagram(body []byte) []byte {
	return append(mac(s.keys[0], [][]byte{body})[:sealBytes:sealBytes], body...)
}

// OpenDatagram returns the body of a datagram that Wrap has made with one of the keys.
func (s *Signer) OpenDatagram(data []byte) ([]byte, bool) {
	if len(data) < sealBytes {
		return nil, false
	}
	body := data[sealBytes:]
	if !s.matches(data[:sealBytes], [][]byte{body}) {
		return nil, false
	}
	return body, true
}

// Digest returns a keyed digest of the parts in hexadecimal digits.
func (s *Signer) Digest(parts ...[]byte) string {
	return hex.EncodeToString(mac(s.keys[0], parts))
}

func mac(key *sync.Pool, parts [][]byte) []byte {
	h, _ := key.Get().(hash.Hash)
	defer key.Put(h)
	h.Reset()
	var length [8]byte
	for _, part := range parts {
		n := len(part)
		for i := range length {
			length[i] = byte(n >> (8 * i))
		}
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}
