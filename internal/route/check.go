package route

import (
	"fmt"
	"strings"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Problem kinds of the package.
const (
	// Invalid means that a document contradicts itself.
	Invalid ErrorKind = iota
)

// ErrorKind sorts the failures of the package.
type ErrorKind int

// String returns the fault's name.
func (f ErrorKind) String() string { return "wrong configuration" }

// Error is the error type of the package.
type Error = failure.Error[ErrorKind]

// Problems is every wrong field of a document.
type Problems = failure.Problems

// Check returns an Error that lists every wrong field, or nil.
func Check(d Document) error {
	c := checker{services: map[string]bool{}}
	for i, s := range d.Services {
		c.service(fmt.Sprintf("Services[%d]", i), s)
	}
	c.problems.Require(d.Version > 0, "Version", "expected a positive number")
	for i := range d.Routes {
		c.route(fmt.Sprintf("Routes[%d]", i), &d.Routes[i])
	}
	if len(c.problems) == 0 {
		return nil
	}
	return &Error{Op: "check configuration", Kind: Invalid, Cause: c.problems}
}

type checker struct {
	services map[string]bool
	problems Problems
}

func (c *checker) service(path string, s Service) {
	c.problems.Require(s.Name != "", path+".Name", "expected a name")
	c.problems.Require(!c.services[s.Name], path+".Name", "expected a name that no other service has, got %q", s.Name)
	c.services[s.Name] = true
	c.problems.Require(s.ColdPerSecond >= 0, path+".ColdPerSecond", "expected no negative rate, got %g", s.ColdPerSecond)
}

func (c *checker) route(path string, r *Route) {
	c.problems.Require(r.Name != "", path+".Name", "expected a name")
	c.problems.Require(r.Host != "", path+".Host", "expected a host")
	c.problems.Require(strings.HasPrefix(r.PathPrefix, "/") && strings.HasSuffix(r.PathPrefix, "/"),
		path+".PathPrefix", "expected a path that begins and ends with a slash, got %q", r.PathPrefix)
	c.problems.Require(r.MaxAttempts > 0, path+".MaxAttempts", "expected a positive number, got %d", r.MaxAttempts)
	c.problems.Require(r.Timeout >= 0, path+".Timeout", "expected no negative time, got %s", r.Timeout)
	c.problems.Require(len(r.Splits) > 0, path+".Splits", "expected at least one service")
	total := 0
	for i, s := range r.Splits {
		at := fmt.Sprintf("%s.Splits[%d]", path, i)
		c.problems.Require(c.services[s.Service], at+".Service", "expected a service of the document, got %q", s.Service)
		c.problems.Require(s.Weight >= 0, at+".Weight", "expected no negative weight, got %d", s.Weight)
		total += max(s.Weight, 0)
	}
	c.problems.Require(total > 0, path+".Splits", "expected a positive weight")
}
