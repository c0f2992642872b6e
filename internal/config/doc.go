// Package config holds the configuration that operators patch: the document, its
// validation, the patch formats, and the compiled index that the request path reads.
// It does no I/O.
package config
