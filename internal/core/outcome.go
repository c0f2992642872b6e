package core

import "fmt"

// Outcome tells a caller whether its request was run. It travels in the header
// HeaderOutcome and in every error body.
type Outcome int

// The outcomes. The zero value is Unknown, so that a forgotten outcome never
// claims more than is known.
const (
	// Unknown means the request may have been run, wholly or in part.
	Unknown Outcome = iota
	// NotRun means that the request was not run and never will be.
	NotRun
	// Run means that the request was run and this is its answer.
	Run
)

var outcomeNames = [...]string{"Unknown", "NotRun", "Run"}

// String returns the name that is used on the wire.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// ParseOutcome reads a name as String gives it. Anything else is Unknown.
func ParseOutcome(name string) Outcome {
	for i, known := range outcomeNames {
		if known == name {
			return Outcome(i)
		}
	}
	return Unknown
}

// MarshalText writes the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the outcome's name.
func (o *Outcome) UnmarshalText(text []byte) error {
	*o = ParseOutcome(string(text))
	return nil
}

// Class sorts requests by expected length.
type Class int

// The classes.
const (
	Short Class = iota
	Long
)

// String returns the class's name.
func (c Class) String() string {
	if c == Long {
		return "Long"
	}
	return "Short"
}

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// The reasons, one for each way that a call can fail.
const (
	ReasonBadRequest      Reason = "BadRequest"
	ReasonBodyTooLarge    Reason = "BodyTooLarge"
	ReasonUnauthenticated Reason = "Unauthenticated"
	ReasonForbidden       Reason = "Forbidden"
	ReasonUnknownService  Reason = "UnknownService"
	ReasonUnknownPath     Reason = "UnknownPath"
	ReasonResidency       Reason = "Residency"
	ReasonWrongRegion     Reason = "WrongRegion"
	ReasonLoop            Reason = "Loop"
	ReasonNotReady        Reason = "NotReady"
	ReasonLeaving         Reason = "Leaving"
	ReasonOverloaded      Reason = "Overloaded"
	ReasonNoTarget        Reason = "NoTarget"
	ReasonBudget          Reason = "BudgetExceeded"
	ReasonRateLimited     Reason = "RateLimited"
	ReasonTargetRefused   Reason = "TargetRefused"
	ReasonTargetLost      Reason = "TargetLost"
	ReasonStreamCut       Reason = "StreamCut"
	ReasonCallerGone      Reason = "CallerGone"
	ReasonKeyReused       Reason = "KeyReused"
	ReasonKeyExpired      Reason = "KeyExpired"
	ReasonKeyInProgress   Reason = "KeyInProgress"
	ReasonAlreadyRun      Reason = "AlreadyRun"
	ReasonOwnerGone       Reason = "OwnerGone"
	ReasonStoreDown       Reason = "StoreDown"
	ReasonStaleVersion    Reason = "StaleVersion"
	ReasonConflict        Reason = "VersionConflict"
	ReasonInvalid         Reason = "InvalidConfiguration"
	ReasonQuarantined     Reason = "Quarantined"
)

// Refusal is the final answer to a call that has no answer of a target.
type Refusal struct {
	Status     int
	Reason     Reason
	Message    string
	Outcome    Outcome
	RetryAfter int // seconds; zero says nothing about when to come back
}

// Error gives the reason and the message.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Message) }

// WithOutcome returns a copy that carries another outcome.
func (r Refusal) WithOutcome(o Outcome) *Refusal {
	r.Outcome = o
	return &r
}

// WithRetryAfter returns a copy that tells when to come back.
func (r Refusal) WithRetryAfter(seconds int) *Refusal {
	r.RetryAfter = seconds
	return &r
}
