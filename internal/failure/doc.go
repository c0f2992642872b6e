// Package failure gives every other package its one error type: an operation
// that failed, the kind of failure, and the cause.
package failure
