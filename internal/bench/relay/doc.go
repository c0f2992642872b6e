// Package relay measures what one daemon adds to a call: throughput and latency
// against the same stand-in reached directly, memory for each open stream, and
// allocations a call.
package relay
