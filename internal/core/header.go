package core

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// Headers between callers, hosts and targets.
const (
	HeaderOutcome        = "Sequoiarack-Outcome"
	HeaderPassed         = "Sequoiarack-Passed"
	HeaderHost           = "Sequoiarack-Host"
	HeaderRegion         = "Sequoiarack-Region"
	HeaderTarget         = "Sequoiarack-Target"
	HeaderVersion        = "Sequoiarack-Config-Version"
	HeaderCaller         = "Sequoiarack-Caller"
	HeaderSignature      = "Sequoiarack-Signature"
	HeaderSignedAt       = "Sequoiarack-Signed-At"
	HeaderDataClass      = "Sequoiarack-Data-Class"
	HeaderDeadline       = "Sequoiarack-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderPriority       = "X-Priority"
	HeaderLoad           = "X-Load"
	HeaderLeaving        = "X-Leaving"
	HeaderRefused        = "X-Refused"
	// HeaderKeyProven comes with a refusal whose host has looked the key up.
	HeaderKeyProven = "Sequoiarack-Key-Proven"
)

const requestIDBytes = 12

// NewID returns a random identifier of 24 hexadecimal digits.
func NewID() string {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Passed is the record of the hosts and regions that a call has gone through,
// in order, as "region/host" items.
type Passed []string

// ParsePassed reads the value of HeaderPassed.
func ParsePassed(value string) Passed {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// String gives the value of HeaderPassed.
func (p Passed) String() string { return strings.Join(p, ",") }

// With returns a copy with one more host at the end.
func (p Passed) With(region, host string) Passed {
	out := make(Passed, 0, len(p)+1)
	out = append(out, p...)
	return append(out, region+"/"+host)
}

// HasRegion reports whether the call has been in the region.
func (p Passed) HasRegion(region string) bool {
	for _, item := range p {
		if name, _, _ := strings.Cut(item, "/"); name == region {
			return true
		}
	}
	return false
}

// HasHost reports whether the call has been at the host.
func (p Passed) HasHost(host string) bool {
	for _, item := range p {
		if _, name, _ := strings.Cut(item, "/"); name == host {
			return true
		}
	}
	return false
}
