// Package daemon wires the duties of one entry host together: the callers' and
// peers' servers, the request path, and the duties beside it. Decisions are
// made in the packages below; this one moves bytes.
package daemon
