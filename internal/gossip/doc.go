// Package gossip is the duty that runs the membership protocol of package
// member over UDP and spreads the facts of package bulletin. Messages are JSON,
// each sealed with the fleet's key.
package gossip
