package core

import "fmt"

// Outcome reports to a caller whether its request was run. It is sent in the header
// HeaderOutcome and in the body of every error.
type Outcome int

// The outcomes. The zero value is Unknown, so that an outcome that was never set does
// not claim that the request was or was not run.
const (
	// Unknown means that the request may have been run, wholly or in part.
	Unknown Outcome = iota
	// NotRun means that the request was not run and never will be.
	NotRun
	// Run means that the request was run and that this is its response.
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

// ParseOutcome parses a name as returned by String. Any other text is Unknown.
func ParseOutcome(name string) Outcome {
	for i, known := range outcomeNames {
		if known == name {
			return Outcome(i)
		}
	}
	return Unknown
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It never fails: an unknown name is
// decoded as Unknown.
func (o *Outcome) UnmarshalText(text []byte) error {
	*o = ParseOutcome(string(text))
	return nil
}

// Class is the class of a request by its expected number of output tokens.
type Class int

// The classes.
const (
	Short Class = iota
	Long
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Long {
		return "Long"
	}
	return "Short"
}

// Reason is the machine-readable cause of a refusal or failure.
type Reason string

// The reasons, one for each way in which a call can fail.
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

// Refusal is the error response to a call for which there is no response of a target.
type Refusal struct {
	Status     int
	Reason     Reason
	Message    string
	Outcome    Outcome
	RetryAfter int // seconds; zero sends no Retry-After
}

// Error returns the reason and the message.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Message) }

// WithOutcome returns a copy with another outcome.
func (r Refusal) WithOutcome(o Outcome) *Refusal {
	r.Outcome = o
	return &r
}

// WithRetryAfter returns a copy with the time to wait before a retry, in seconds.
func (r Refusal) WithRetryAfter(seconds int) *Refusal {
	r.RetryAfter = seconds
	return &r
}
