package failure

import (
	"fmt"
	"strings"
)

// Problem describes an invalid field of user-supplied data, such as a configuration.
type Problem struct {
	Path     string `json:"Path"`
	Expected string `json:"Expected"`
}

// Problems is a list of invalid fields, in the order in which they are reported. It is an
// error.
type Problems []Problem

// Add adds a problem. The format and args give the expected value.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Expected: fmt.Sprintf(format, args...)})
}

// Require adds a problem unless ok is true.
func (p *Problems) Require(ok bool, path, format string, args ...any) {
	if !ok {
		p.Add(path, format, args...)
	}
}

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Path + ": " + problem.Expected
	}
	return strings.Join(lines, "\n")
}
