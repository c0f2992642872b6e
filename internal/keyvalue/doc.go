// Package keyvalue is the narrow interface to the platform's key-value
// service: reads, compare-and-swap transactions, watches and leases. Package
// etcd holds the adapter; nothing else knows the service's protocol.
package keyvalue
