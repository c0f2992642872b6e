package failure

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is the failure of an operation. K is the enumeration of kinds of the package that
// returns the error, so that the code that handles it needn't match text.
type Error[K fmt.Stringer] struct {
	Op    string
	Kind  K
	Cause error
}

// New returns an Error without a cause.
func New[K fmt.Stringer](op string, kind K) *Error[K] {
	return &Error[K]{Op: op, Kind: kind}
}

// Wrap returns an Error with the given cause.
func Wrap[K fmt.Stringer](op string, kind K, cause error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Cause: cause}
}

// Error returns the operation, the kind and the cause, if any, separated by colons.
func (e *Error[K]) Error() string {
	if e.Cause == nil {
		return e.Op + ": " + e.Kind.String()
	}
	return e.Op + ": " + e.Kind.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Cause }

// KindOf returns the kind of the first Error[K] in the chain of err, and false if there is
// none.
func KindOf[K fmt.Stringer](err error) (K, bool) {
	var target *Error[K]
	if errors.As(err, &target) {
		return target.Kind, true
	}
	var zero K
	return zero, false
}
