package core

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// Names of the headers between callers, hosts and targets.
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
	// HeaderKeyProven is set on a refusal by a host that has looked up the idempotency
	// key, so that an outcome of NotRun is certain.
	HeaderKeyProven = "Sequoiarack-Key-Proven"
)

const requestIDBytes = 12

// NewID returns a random identifier of 24 hexadecimal digits.
func NewID() string {
	var raw [requestIDBytes]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Hops lists the hosts that a call has passed through, in order, each as
// "region/host".
type Hops []string

// ParseHops parses the value of HeaderPassed.
func ParseHops(value string) Hops {
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// String returns the value of HeaderPassed.
func (h Hops) String() string { return strings.Join(h, ",") }

// Append returns a copy with the host added at the end.
func (h Hops) Append(region, host string) Hops {
	out := make(Hops, 0, len(h)+1)
	out = append(out, h...)
	return append(out, region+"/"+host)
}

// HasRegion reports whether the call has passed through a host of the region.
func (h Hops) HasRegion(region string) bool {
	for _, item := range h {
		if name, _, _ := strings.Cut(item, "/"); name == region {
			return true
		}
	}
	return false
}

// HasHost reports whether the call has passed through the host.
func (h Hops) HasHost(host string) bool {
	for _, item := range h {
		if _, name, _ := strings.Cut(item, "/"); name == host {
			return true
		}
	}
	return false
}
