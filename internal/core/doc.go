// Package core holds the few types that every stage of the request path
// shares: outcomes, classes, header names and the typed refusal.
package core
