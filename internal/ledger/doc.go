// Package ledger stores the numbered versions of the configuration in the key-value
// service: a head, a record for each patch, and a snapshot every snapshotInterval
// versions. A version is accepted only when its transaction is confirmed.
package ledger
