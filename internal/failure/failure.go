package failure

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error reports an operation of a package that failed. K is the package's own
// enumeration of kinds, so that callers switch on a kind and never on text.
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

// Error gives the operation, the kind and the cause, in this order.
func (e *Error[K]) Error() string {
	if e.Cause == nil {
		return e.Op + ": " + e.Kind.String()
	}
	return e.Op + ": " + e.Kind.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Cause }

// KindOf finds the first Error[K] in the chain of err and returns its kind.
func KindOf[K fmt.Stringer](err error) (K, bool) {
	var target *Error[K]
	if errors.As(err, &target) {
		return target.Kind, true
	}
	var zero K
	return zero, false
}
