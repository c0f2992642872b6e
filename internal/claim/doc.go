// Package claim makes calls that may not be repeated take effect at most once.
// A call carries a key. A key that the caller chose, a UUID of version 7, is
// claimed by compare-and-swap in the key-value service before the call runs. A
// key that a host issued is spent in the memory of that host's process, and
// nowhere else. Stored are keyed digests only.
package claim
