package route

import (
	"fmt"
	"strings"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// The kinds of errors.
const (
	// Invalid means that a document has wrong fields.
	Invalid ErrorKind = iota
)

// ErrorKind is the kind of an error of the package.
type ErrorKind int

// String returns the kind's name.
func (k ErrorKind) String() string { return "invalid configuration" }

// Error is the error type of the package.
type Error = failure.Error[ErrorKind]

// Problems lists the wrong fields of a document.
type Problems = failure.Problems

// Check returns an Error that lists every wrong field of the document, or nil.
func Check(d Document) error {
	c := checker{services: map[string]bool{}}
	for i, s := range d.Services {
		c.checkService(fmt.Sprintf("Services[%d]", i), s)
	}
	c.problems.Require(d.Version > 0, "Version", "expected a positive number")
	for i := range d.Routes {
		c.checkRoute(fmt.Sprintf("Routes[%d]", i), &d.Routes[i])
	}
	c.checkWorkspaces(d.Workspaces)
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Op: "check configuration", Kind: Invalid, Cause: c.problems}
}

type checker struct {
	services map[string]bool
	problems Problems
}

func (c *checker) checkService(path string, s Service) {
	c.problems.Require(s.Name != "", path+".Name", "expected a name")
	c.problems.Require(!c.services[s.Name], path+".Name", "expected a unique name, got %q", s.Name)
	c.services[s.Name] = true
	c.problems.Require(s.ColdPerSecond >= 0, path+".ColdPerSecond", "expected a non-negative rate, got %g", s.ColdPerSecond)
}

func (c *checker) checkRoute(path string, r *Route) {
	c.problems.Require(r.Name != "", path+".Name", "expected a name")
	c.problems.Require(r.Host != "", path+".Host", "expected a host")
	c.problems.Require(r.Kind != Unknown, path+".Kind", "expected a known kind")
	c.problems.Require(strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/"),
		path+".PathPrefix", "expected a path that begins and ends with a slash, got %q", r.PathPrefix)
	c.problems.Require(r.MaxAttempts > 0, path+".MaxAttempts", "expected a positive number, got %d", r.MaxAttempts)
	c.problems.Require(r.Timeout >= 0, path+".Timeout", "expected a non-negative duration, got %s", r.Timeout)
	c.problems.Require(len(r.Splits) > 0, path+".Splits", "expected at least one service")
	totalWeight := 0
	for i, s := range r.Splits {
		splitPath := fmt.Sprintf("%s.Splits[%d]", path, i)
		c.problems.Require(c.services[s.Service], splitPath+".Service", "expected a service of the document, got %q", s.Service)
		c.problems.Require(s.Weight >= 0, splitPath+".Weight", "expected a non-negative weight, got %d", s.Weight)
		totalWeight += max(s.Weight, 0)
	}
	c.problems.Require(totalWeight > 0, path+".Splits", "expected a positive sum of weights")
}
