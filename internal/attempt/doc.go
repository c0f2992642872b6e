// Package attempt runs a call at one target and tells truthfully how that
// ended. Only a target's own refusal, or a request of which no byte was sent,
// makes a call that was not run.
package attempt
