package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/sequoiarack/sequoiarack/internal/failure"
)

// Kind classifies the errors of the package.
type Kind int

// The kinds.
const (
	Malformed Kind = iota
	Invalid
	BadPatch
)

// String returns the kind as it appears in error messages.
func (k Kind) String() string {
	return [...]string{"malformed document", "invalid document", "bad patch"}[k]
}

// Error is the error type of the package.
type Error = failure.Error[Kind]

// Problems lists all errors of a document, each with the JSON pointer of its field,
// sorted by pointer.
type Problems = failure.Problems

var (
	nameRegexp    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$`)
	digestRegexp  = regexp.MustCompile(`^[0-9a-f]{64}$`)
	addressRegexp = regexp.MustCompile(`^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$`)
)

const nameFormat = "a name of lower-case letters, digits, dots and dashes"

type checker struct {
	document Document
	problems Problems
	// regionByCentre maps data centres to regions.
	regionByCentre map[string]string
}

// Check returns all errors of the document, or nil.
func Check(document Document) Problems {
	c := &checker{document: document, regionByCentre: map[string]string{}}
	c.regions()
	c.links()
	c.services()
	c.targets()
	c.dataClasses()
	c.workspaces()
	c.keys()
	c.limits()
	sort.SliceStable(c.problems, func(i, j int) bool { return c.problems[i].Path < c.problems[j].Path })
	return c.problems
}

func (c *checker) name(path, name string) {
	c.problems.Require(nameRegexp.MatchString(name), path, "expected %s", nameFormat)
}

func (c *checker) regionNames(path string, names []string) {
	c.problems.Require(len(names) > 0, path, "expected at least one region")
	for i, name := range names {
		_, ok := c.document.Regions[name]
		c.problems.Require(ok, fmt.Sprintf("%s/%d", path, i), "expected a region of /Regions, got %q", name)
	}
}

func (c *checker) regions() {
	c.problems.Require(len(c.document.Regions) > 0, "/Regions", "expected at least one region")
	for _, name := range slices.Sorted(maps.Keys(c.document.Regions)) {
		region := c.document.Regions[name]
		path := "/Regions/" + name
		c.name(path, name)
		c.problems.Require(len(region.DataCentres) > 0, path+"/DataCentres", "expected at least one data centre")
		for i, centre := range region.DataCentres {
			item := fmt.Sprintf("%s/DataCentres/%d", path, i)
			c.name(item, centre)
			if other, taken := c.regionByCentre[centre]; taken {
				c.problems.Add(item, "expected a data centre of one region only, %q is also in %q", centre, other)
			}
			c.regionByCentre[centre] = name
		}
	}
}

func (c *checker) links() {
	for key, link := range c.document.Links {
		path := "/Links/" + key
		a, b, ok := strings.Cut(key, ":")
		c.problems.Require(ok && a < b, path, "expected two regions in alphabetical order, joined by a colon")
		for _, name := range []string{a, b} {
			_, known := c.document.Regions[name]
			c.problems.Require(known, path, "expected a region of /Regions, got %q", name)
		}
		c.problems.Require(link.OneWayMs >= 0, path+"/OneWayMs", "expected milliseconds, zero or more")
		c.problems.Require(link.MegabitPerSecond > 0, path+"/MegabitPerSecond", "expected a positive number")
	}
}

func (c *checker) services() {
	for name, service := range c.document.Services {
		path := "/Services/" + name
		c.name(path, name)
		c.problems.Require(service.Kind == KindModel || service.Kind == KindPlain, path+"/Kind",
			"expected %q or %q, got %q", KindModel, KindPlain, service.Kind)
		c.regionNames(path+"/Regions", service.Regions)
		c.problems.Require(service.FirstTokenBudgetMs > 0, path+"/FirstTokenBudgetMs", "expected positive milliseconds")
		c.problems.Require(service.LongTokens >= 0, path+"/LongTokens", "expected tokens, zero or more")
		c.problems.Require(service.Kind == KindPlain || len(service.RepeatableMethods) == 0, path+"/RepeatableMethods",
			"expected none: calls of a model may always be repeated")
	}
}

func (c *checker) targets() {
	addresses := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.document.Targets)) {
		target := c.document.Targets[name]
		path := "/Targets/" + name
		c.name(path, name)
		service, ok := c.document.Services[target.Service]
		c.problems.Require(ok, path+"/Service", "expected a service of /Services, got %q", target.Service)
		region, known := c.regionByCentre[target.DataCentre]
		c.problems.Require(known, path+"/DataCentre", "expected a data centre of /Regions, got %q", target.DataCentre)
		c.problems.Require(!known || region == target.Region, path+"/Region", "expected %q, the region of the data centre", region)
		c.problems.Require(!ok || contains(service.Regions, target.Region), path+"/Region", "expected a region of the service")
		c.problems.Require(addressRegexp.MatchString(target.Address), path+"/Address", "expected IP:port, got %q", target.Address)
		if other, taken := addresses[target.Address]; taken {
			c.problems.Add(path+"/Address", "expected an address of its own, %q has it too", other)
		}
		addresses[target.Address] = name
		c.problems.Require(target.Slots > 0, path+"/Slots", "expected a positive number")
	}
}

func (c *checker) dataClasses() {
	for name, class := range c.document.DataClasses {
		c.name("/DataClasses/"+name, name)
		c.regionNames("/DataClasses/"+name+"/Regions", class.Regions)
	}
}

func (c *checker) workspaces() {
	for name, workspace := range c.document.Workspaces {
		path := "/Workspaces/" + name
		c.name(path, name)
		c.regionNames(path+"/Residency", workspace.Residency)
		c.problems.Require(contains(workspace.Residency, workspace.Home), path+"/Home", "expected a region of Residency, got %q", workspace.Home)
		c.problems.Require(workspace.RequestsPerSecond >= 0, path+"/RequestsPerSecond", "expected a rate, zero for none")
		c.problems.Require(workspace.Burst >= 0, path+"/Burst", "expected a number, zero or more")
		c.problems.Require(workspace.RequestsPerSecond == 0 || workspace.Burst > 0, path+"/Burst", "expected a positive number beside RequestsPerSecond")
	}
}

func (c *checker) keys() {
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.document.Keys)) {
		key := c.document.Keys[name]
		path := "/Keys/" + name
		c.name(path, name)
		switch key.Role {
		case RoleCaller:
			_, ok := c.document.Workspaces[key.Workspace]
			c.problems.Require(ok, path+"/Workspace", "expected a workspace of /Workspaces, got %q", key.Workspace)
		case RoleReader, RoleOperator:
			c.problems.Require(key.Workspace == "", path+"/Workspace", "expected none for the role %q", key.Role)
		default:
			c.problems.Add(path+"/Role", "expected %q, %q or %q, got %q", RoleCaller, RoleReader, RoleOperator, key.Role)
		}
		c.problems.Require(len(key.Digests) > 0, path+"/Digests", "expected at least one digest")
		for i, digest := range key.Digests {
			item := fmt.Sprintf("%s/Digests/%d", path, i)
			c.problems.Require(digestRegexp.MatchString(digest), item, "expected a SHA-256 digest in 64 hexadecimal digits")
			if other, taken := owners[digest]; taken {
				c.problems.Add(item, "expected a digest of one key only, %q has it too", other)
			}
			owners[digest] = name
		}
	}
}

func (c *checker) limits() {
	l := c.document.Limits
	counts := []struct {
		name  string
		value int
	}{
		{"MaxBodyBytes", l.MaxBodyBytes},
		{"MaxAnswerBytes", l.MaxAnswerBytes},
		{"MaxQueuedPerHost", l.MaxQueuedPerHost},
		{"ClaimRetentionSec", l.ClaimRetentionSec},
		{"CallTimeoutSec", l.CallTimeoutSec},
	}
	for _, count := range counts {
		c.problems.Require(count.value > 0, "/Limits/"+count.name, "expected a positive number")
	}
	c.problems.Require(l.MaxBodyBytes <= MaxBodyBytes, "/Limits/MaxBodyBytes", "expected at most %d", MaxBodyBytes)
	shares := []struct {
		name  string
		value float64
	}{
		{"RetryShare", l.RetryShare},
		{"HedgeShare", l.HedgeShare},
		{"MaxEjectedShare", l.MaxEjectedShare},
		{"LongSlotShare", l.LongSlotShare},
	}
	for _, share := range shares {
		c.problems.Require(share.value >= 0 && share.value <= 1, "/Limits/"+share.name, "expected a share from 0 to 1")
	}
}

func contains(list []string, name string) bool {
	for _, item := range list {
		if item == name {
			return true
		}
	}
	return false
}
