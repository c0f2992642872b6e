// Package failure defines the error type that the other packages share. An error consists
// of the operation that failed, the kind of failure, and the cause.
package failure
