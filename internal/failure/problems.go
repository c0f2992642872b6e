package failure

import (
	"fmt"
	"strings"
)

// Problem is one wrong field of what people write.
type Problem struct {
	Path     string `json:"Path"`
	Expected string `json:"Expected"`
}

// Problems is every wrong field, in the order in which they are to be shown.
type Problems []Problem

// Add adds a problem.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Expected: fmt.Sprintf(format, args...)})
}

// Require adds a problem unless ok is set.
func (p *Problems) Require(ok bool, path, format string, args ...any) {
	if !ok {
		p.Add(path, format, args...)
	}
}

// Error lists all problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Path + ": " + problem.Expected
	}
	return strings.Join(lines, "\n")
}
