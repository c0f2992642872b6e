// Package core holds the types that all stages of the request path share: outcomes,
// length classes, header names and refusals.
package core
