// Package policy simulates the decisions of the gateway on a virtual clock. The
// arrivals of a scenario file go to the decision packages, with a separate state
// for each host, and to baselines and an oracle, over simulated replicas that
// batch continuously. It runs no daemon, store, membership or network.
package policy
