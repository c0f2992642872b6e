// Package relay measures the overhead of one daemon: throughput and latency compared
// with direct calls to the same stand-in, memory for each open stream, and
// allocations for each call.
package relay
