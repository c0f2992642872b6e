// Package policy measures the decisions of the gateway. A small virtual-clock
// rig feeds arrivals of a scenario file to the decision packages, one instance
// of their state for each host, and to baselines and an oracle, over fakes of
// batching replicas. There is no daemon, store, membership or network in it.
package policy
