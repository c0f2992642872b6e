// Package seal authenticates the messages between hosts with shared keys, and computes
// keyed digests of data that must not be stored in plain text. A list of keys allows
// their rotation: messages are signed with the first key and verified with all of them.
package seal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"sync"
)

const signatureBytes = 16

// SignatureDigits is the length of a signature in hexadecimal digits.
const SignatureDigits = 2 * signatureBytes

// Signer signs and verifies messages with HMAC-SHA-256, truncated to 16 bytes. It is safe
// for concurrent use.
type Signer struct {
	keys []*sync.Pool // one pool of hash.Hash per key
}

// New returns a Signer. At least one key is required.
func New(keys ...string) *Signer {
	s := &Signer{}
	for _, key := range keys {
		s.keys = append(s.keys, &sync.Pool{New: func() any { return hmac.New(sha256.New, []byte(key)) }})
	}
	return s
}

// Sign returns the signature of the parts in hexadecimal digits. The lengths of the parts
// are signed too, so the same bytes divided otherwise have another signature.
func (s *Signer) Sign(parts ...[]byte) string {
	return hex.EncodeToString(mac(s.keys[0], parts)[:signatureBytes])
}

// Verify reports whether signature is that of the parts with one of the keys.
func (s *Signer) Verify(signature string, parts ...[]byte) bool {
	sum, err := hex.DecodeString(signature)
	if err != nil || len(sum) != signatureBytes {
		return false
	}
	return s.verifyMAC(sum, parts)
}

// verifyMAC reports whether sum is the truncated HMAC of the parts with one of the keys.
func (s *Signer) verifyMAC(sum []byte, parts [][]byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(sum, mac(key, parts)[:signatureBytes]) {
			return true
		}
	}
	return false
}

// SignDatagram returns a datagram that consists of the signature of the body and the body.
func (s *Signer) SignDatagram(body []byte) []byte {
	return append(mac(s.keys[0], [][]byte{body})[:signatureBytes:signatureBytes], body...)
}

// OpenDatagram returns the body of a datagram that SignDatagram returned. It returns false
// unless the signature is valid for one of the keys.
func (s *Signer) OpenDatagram(data []byte) ([]byte, bool) {
	if len(data) < signatureBytes {
		return nil, false
	}
	body := data[signatureBytes:]
	if !s.verifyMAC(data[:signatureBytes], [][]byte{body}) {
		return nil, false
	}
	return body, true
}

// Digest returns the HMAC-SHA-256 of the parts with the first key, in hexadecimal digits.
func (s *Signer) Digest(parts ...[]byte) string {
	return hex.EncodeToString(mac(s.keys[0], parts))
}

// Digests returns the digests of the parts with each key, that of the first key first. Hosts whose lists begin with
// different keys, as during a rotation, have some of them in common.
func (s *Signer) Digests(parts ...[]byte) []string {
	var out []string
	for _, key := range s.keys {
		out = append(out, hex.EncodeToString(mac(key, parts)))
	}
	return out
}

// mac returns the HMAC of the parts, each of which is preceded by its length as 8 bytes in
// little-endian order.
func mac(key *sync.Pool, parts [][]byte) []byte {
	hasher, _ := key.Get().(hash.Hash)
	defer key.Put(hasher)
	hasher.Reset()
	var length [8]byte
	for _, part := range parts {
		n := len(part)
		for i := range length {
			length[i] = byte(n >> (8 * i))
		}
		_, _ = hasher.Write(length[:])
		_, _ = hasher.Write(part)
	}
	return hasher.Sum(nil)
}
