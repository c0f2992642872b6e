// Package attempt sends a call to one target and classifies the result. A call counts
// as not run only if the target itself refused it or no byte of the request was sent.
package attempt
