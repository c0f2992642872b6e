package route_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/sequoiarack/sequoiarack/internal/permission"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

func document(version uint64, routes ...route.Route) route.Document {
	for i := range routes {
		routes[i].Host, routes[i].MaxAttempts = "shop.example", 1
		if routes[i].Splits == nil {
			routes[i].Splits = []route.Split{{Service: "desk", Weight: 1}}
		}
	}
	return route.Document{Version: version, Routes: routes, Services: []route.Service{{Name: "desk"}, {Name: "other"}}}
}

// isHome reports whether calls with homes may run in a region.
func isHome(homes permission.Homes, region string) bool {
	return permission.Decide(permission.Run, homes, permission.Fleet{Own: region}, region, permission.Evidence{}) == permission.Granted
}

var _ = Describe("a table", func() {
	It("finds the route with the longest path prefix, with or without a port in the host", func() {
		table, err := route.NewTable(document(1,
			route.Route{Name: "short", PathPrefix: "/a/"}, route.Route{Name: "long", PathPrefix: "/a/b/"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(table.Find("shop.example", "/a/b/c").Name).To(Equal("long"))
		Expect(table.Find("shop.example:8080", "/a/c").Name).To(Equal("short"))
		Expect(table.Find("shop.example", "/a")).To(BeNil())
		Expect(table.Find("other.example", "/a/b/c")).To(BeNil())
	})

	It("counts the restricted routes of a host that each region may serve", func() {
		table, err := route.NewTable(document(1,
			route.Route{Name: "a", PathPrefix: "/a/", HomeRegions: []string{"north", "south"}},
			route.Route{Name: "b", PathPrefix: "/b/"},
			route.Route{Name: "c", PathPrefix: "/c/", HomeRegions: []string{"south", "west"}}))
		Expect(err).NotTo(HaveOccurred())
		Expect(table.HomeRegionCounts("shop.example")).To(Equal(map[string]int{"north": 1, "south": 2, "west": 1}))
		Expect(table.HomeRegionCounts("other.example")).To(BeEmpty())
	})

	It("knows which regions may serve every route of a host", func() {
		open := route.Route{Name: "b", PathPrefix: "/b/"}
		table, err := route.NewTable(document(1, open,
			route.Route{Name: "a", PathPrefix: "/a/", HomeRegions: []string{"north", "south"}},
			route.Route{Name: "c", PathPrefix: "/c/", HomeRegions: []string{"south", "west"}}))
		Expect(err).NotTo(HaveOccurred())
		Expect(isHome(table.Homes("shop.example"), "south")).To(BeTrue())
		Expect(isHome(table.Homes("shop.example:8080"), "south")).To(BeTrue())
		Expect(isHome(table.Homes("shop.example"), "north")).To(BeFalse())
		Expect(isHome(table.Homes("shop.example"), "east")).To(BeFalse())
		Expect(isHome(table.Homes("other.example"), "south")).To(BeFalse())
		table, err = route.NewTable(document(1, open))
		Expect(err).NotTo(HaveOccurred())
		Expect(isHome(table.Homes("shop.example"), "east")).To(BeTrue())
	})
})

// Guards against calls of a route that cannot be used, which a route with a shorter path prefix served
// outside the homes of the first (HOME).
var _ = Describe("a table with withheld routes", func() {
	newTable := func() *route.Table {
		d := document(1, route.Route{Name: "short", PathPrefix: "/a/"}, route.Route{Name: "same", PathPrefix: "/a/c/"},
			route.Route{Name: "long", PathPrefix: "/a/b/x/", HomeRegions: []string{"north"}})
		for _, prefix := range []string{"/a/b/", "/a/c/", "/d", "", "e/"} {
			d = d.WithWithheld(route.Location{Host: "shop.example", PathPrefix: prefix})
		}
		table, err := route.NewTable(d.WithWithheld(route.Location{PathPrefix: "/a/"}))
		Expect(err).NotTo(HaveOccurred())
		return table
	}

	DescribeTable("finds no route in place of one that is withheld", func(path, name string, withheld bool) {
		table := newTable()
		for _, host := range []string{"shop.example", "shop.example:8080"} {
			Expect(table.Withholds(host, path)).To(Equal(withheld))
			r := table.Find(host, path)
			Expect(r != nil).To(Equal(name != ""))
			if r != nil {
				Expect(r.Name).To(Equal(name))
			}
		}
	},
		Entry("a shorter prefix", "/a/x", "short", false),
		Entry("the withheld prefix", "/a/b/y", "", true),
		Entry("a longer prefix", "/a/b/x/y", "long", false),
		Entry("a prefix that another route has, too", "/a/c/x", "", true),
		Entry("a prefix without a slash at the end", "/d/x", "", true),
		Entry("a path that begins with no prefix", "/x", "", false),
		Entry("a prefix that no path begins with", "e/x", "", false),
	)

	It("lets no region serve all routes of the host", func() {
		Expect(isHome(newTable().Homes("shop.example"), "north")).To(BeFalse())
		Expect(newTable().HomeRegionCounts("shop.example")).To(Equal(map[string]int{"north": 1}))
	})

	It("has those of a document that have no service", func() {
		d := document(1, route.Route{Name: "a", PathPrefix: "/a/", Splits: []route.Split{{}}})
		usable, problems := route.Usable(d)
		Expect(problems).NotTo(BeEmpty())
		Expect(usable.Withheld).To(Equal([]route.Location{{Host: "shop.example", PathPrefix: "/a/"}}))
	})
})

var _ = Describe("a route", func() {
	It("picks the same service for the same call ID, and services by weight over many calls", func() {
		r := route.Route{Splits: []route.Split{{Service: "desk", Weight: 90}, {Service: "other", Weight: 10}}}
		counts := map[string]int{}
		const calls = 2000
		for i := range calls {
			id := fmt.Sprintf("call-%d", i)
			service := r.PickService(id)
			Expect(r.PickService(id)).To(Equal(service))
			counts[service]++
		}
		Expect(counts["other"]).To(BeNumerically("~", calls/10, calls/40))
	})

	It("is repeatable by its kind, and a stream only if it is resumable", func() {
		Expect((&route.Route{Kind: route.Idempotent}).Repeatable()).To(BeTrue())
		Expect((&route.Route{Kind: route.Once, Resumable: true}).Repeatable()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream}).Repeatable()).To(BeFalse())
		Expect((&route.Route{Kind: route.Stream, Resumable: true}).Repeatable()).To(BeTrue())
	})
})

var _ = Describe("the check", func() {
	data, err := os.ReadFile("testdata/wrong.json")
	if err != nil {
		panic(err)
	}
	var cases []struct {
		Name     string
		Document route.Document
		Paths    []string
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It("reports "+c.Name, func() {
			err := route.Check(c.Document)
			var problems route.Problems
			Expect(errors.As(err, &problems)).To(BeTrue())
			var paths []string
			for _, p := range problems {
				paths = append(paths, p.Path)
			}
			Expect(paths).To(Equal(c.Paths))
			Expect(strings.Count(problems.Error(), "\n")).To(Equal(len(paths) - 1))
			Expect(problems.Error()).NotTo(ContainSubstring("s3cret"))
		})
	}
})

var _ = Describe("what can be used of a document", func() {
	It("is the whole of one without wrong fields", func() {
		d := document(3, route.Route{Name: "r", PathPrefix: "/a/", Kind: route.Stream, Timeout: 7})
		usable, problems := route.Usable(d)
		Expect(problems).To(BeEmpty())
		Expect(usable).To(Equal(d))
	})

	It("passes the check, whatever is wrong", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			text := rapid.SampledFrom([]string{"", "/", "/a/", "a", "desk"})
			number := rapid.IntRange(-2, 2)
			d := route.Document{Version: 1}
			for range rapid.IntRange(0, 3).Draw(t, "services") {
				d.Services = append(d.Services, route.Service{Name: text.Draw(t, "name"), ColdPerSecond: float64(number.Draw(t, "rate"))})
			}
			for range rapid.IntRange(0, 3).Draw(t, "routes") {
				r := route.Route{
					Name: text.Draw(t, "name"), Host: text.Draw(t, "host"), PathPrefix: text.Draw(t, "path"), MaxAttempts: number.Draw(t, "attempts"),
					Timeout: time.Duration(number.Draw(t, "timeout")), Kind: rapid.SampledFrom([]route.Kind{route.Once, route.Unknown}).Draw(t, "kind"),
				}
				for range rapid.IntRange(0, 3).Draw(t, "splits") {
					r.Splits = append(r.Splits, route.Split{Service: text.Draw(t, "service"), Weight: number.Draw(t, "weight")})
				}
				d.Routes = append(d.Routes, r)
			}
			for range rapid.IntRange(0, 3).Draw(t, "workspaces") {
				d.Workspaces = append(d.Workspaces, drawWorkspace(t, number))
			}
			usable, problems := route.Usable(d)
			if err := route.Check(usable); err != nil {
				t.Fatal(err)
			}
			if len(problems) == 0 && route.Check(d) != nil && !slices.ContainsFunc(d.Routes, func(r route.Route) bool { return r.Kind == route.Unknown }) {
				t.Fatalf("no problem is reported of %+v", d)
			}
		})
	})
})

// drawWorkspace draws a workspace, which may be wrong.
func drawWorkspace(t *rapid.T, number *rapid.Generator[int]) route.Workspace {
	text := rapid.SampledFrom([]string{"", "a", "b", "c"})
	priority := number.Draw(t, "priority")
	return route.Workspace{
		Name: text.Draw(t, "workspace"), Keys: rapid.SliceOfN(text, 0, 3).Draw(t, "keys"), Priority: &priority,
		Quota: route.Quota{PerSecond: float64(number.Draw(t, "quota")), Burst: float64(number.Draw(t, "burst")), PlainTokens: float64(number.Draw(t, "plain"))},
	}
}
