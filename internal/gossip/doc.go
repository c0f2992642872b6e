// Package gossip runs the membership protocol of package member over UDP and distributes the
// items of package bulletin. Messages are encoded in CBOR and signed with the fleet's key.
package gossip
