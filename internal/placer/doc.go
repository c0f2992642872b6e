// Package placer lets one host of a region place all calls of a service. That
// host, the service's placing host, is chosen by rendezvous hashing among the
// hosts in use. It places every call, so it can balance the load of the targets
// without their load reports. The other hosts request targets from it and send
// it the ends of calls and the latencies measured by them. A host that gets no
// response places its calls itself, based on the delayed load reports. Such a
// local fallback costs latency but never correctness.
package placer
