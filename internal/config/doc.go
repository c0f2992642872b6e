// Package config holds the configuration that operators patch: its document,
// the check that finds every error at once, patches, and the compiled index
// that the request path reads. It does no I/O.
package config
