// Package allowance keeps the quotas of workspaces over a fleet of hosts. Tokens are generated at every host,
// moved by messages, and consumed once:
//
//   - Each of the N hosts generates 1/N of every quota, counted as share-time: seconds of the whole rate.
//   - Workspaces are hashed into shards. Each host transfers its share-time of a shard to the shard's owner in
//     its region, which adds it to the buckets of the workspaces, valued at their rates.
//   - A host queries the owner before it runs a call. Owners of a shard in different regions send one another
//     tokens on demand.
//
// What is sent is deducted first, so that a lost message loses tokens and none is used twice. The package does
// no I/O and reads no clock; see docs/design/quotas.md.
package allowance
