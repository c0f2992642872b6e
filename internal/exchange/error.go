package exchange

import "github.com/sequoiarack/sequoiarack/internal/failure"

// Kind classifies the failure of an exchange by the stage that it reached.
type Kind int

// The kinds of failure.
const (
	// Unsent means that no byte of the request was written.
	Unsent Kind = iota
	// Unanswered means that the request may have reached the peer and no response to
	// it was read.
	Unanswered
	// Incomplete means that the response header was read and the body did not end as
	// the header declares.
	Incomplete
	// TooLarge means that the body exceeds the reader's limit or the memory budget.
	TooLarge
	// Malformed means that the request may have reached the peer, and that what it sent is no response by the
	// grammar of HTTP, or that a received request is outside this grammar.
	Malformed
	// Withdrawn means that the sender decided not to send the request after all.
	Withdrawn
)

// String returns the text of the kind in error messages.
func (k Kind) String() string {
	return [...]string{"unsent", "unanswered", "broken answer", "answer too large", "malformed", "withdrawn"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]
