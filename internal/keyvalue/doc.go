// Package keyvalue defines the interface to the platform's key-value service: reads,
// compare-and-swap transactions, watches and leases. Package etcd implements it; no
// other package depends on the protocol of the service.
package keyvalue
