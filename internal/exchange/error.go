package exchange

import "github.com/sequoiarack/sequoiarack/internal/failure"

// Kind says how far an exchange got before it failed.
type Kind int

// The kinds of failure.
const (
	// Unsent means that no byte of the request was written.
	Unsent Kind = iota
	// Unanswered means that the request may have arrived and no answer came.
	Unanswered
	// Incomplete means that an answer began and did not end as announced.
	Incomplete
	// TooLarge means that the answer passed the reader's limit.
	TooLarge
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"unsent", "unanswered", "broken answer", "answer too large"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]
