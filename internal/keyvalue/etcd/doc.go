// Package etcd speaks the published HTTP and JSON interface of etcd version 3
// on behalf of package keyvalue.
package etcd
