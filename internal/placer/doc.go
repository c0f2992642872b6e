// Package placer lets one host of a region place the calls of a service for
// all of them. That host, the service's placing host, is the first by
// rendezvous hashing of those in use; it sees every call and so needs no load
// report to share the targets well. The other hosts ask it for a target, tell
// it when a call has ended, and what they saw of a target's speed. A host that
// gets no answer places by itself, on the late reports: that costs latency and
// never correctness.
package placer
