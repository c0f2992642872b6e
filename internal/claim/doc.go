// Package claim makes calls that may not be repeated take effect at most once.
// Each call carries an idempotency key. A key that the caller chose, a UUID of
// version 7, is claimed by compare-and-swap in the key-value service before the
// call runs. A key that a host issued is recorded only in the memory of the
// process that issued it. Keys and requests are stored as keyed digests only.
package claim
