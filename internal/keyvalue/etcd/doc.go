// Package etcd implements keyvalue.Store over the JSON gateway of etcd version 3.
package etcd
