// Package continuation tells at which software version of its service a stream that broke off
// may go on. What targets of two versions write does not fit together, and targets do not check
// it. Hosts remember the version that began each stream for a while, and which versions were in
// service lately. The package does no I/O and reads no clock.
package continuation

import "github.com/cespare/xxhash/v2"

// Version identifies a software version of a service. It is a hash, so that it fits in messages
// and headers whatever text a target states.
type Version uint64

// Unknown is the version of a stream that no one knows.
const Unknown Version = 0

// VersionOf returns the Version for the text that a service's target states.
func VersionOf(service, software string) Version {
	if v := Version(xxhash.Sum64String(service + "\x00" + software)); v != Unknown {
		return v
	}
	return Unknown + 1
}

// StreamKey identifies a stream by the ID of the call that brought its first event.
type StreamKey uint64

// KeyOf returns the key of the stream of a call.
func KeyOf(callID string) StreamKey { return StreamKey(xxhash.Sum64String(callID)) }
