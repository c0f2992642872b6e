// Package ledger keeps the numbered versions of the configuration in the
// key-value service: a head, a record for each patch, and a snapshot every so
// many versions. A version is accepted only when its commit is confirmed.
package ledger
