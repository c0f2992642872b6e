package route_test

import (
	"encoding/json"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/route"
)

// Guards against calls of a workspace that run outside its homes or those of the route (HOME), or by another priority.
var _ = Describe("a route for the calls of a workspace", func() {
	data, err := os.ReadFile("testdata/workspaces.json")
	if err != nil {
		panic(err)
	}
	var cases []struct {
		Name       string
		Workspace  *route.Workspace
		Route      route.Route
		Priority   int
		MayServe   []string
		Restricted bool
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It("has "+c.Name, func() {
			before := c.Route
			r := c.Route.For(c.Workspace)
			Expect(r.Priority).To(Equal(c.Priority))
			Expect(r.Homes().Restricted()).To(Equal(c.Restricted))
			serving := []string{}
			for _, region := range []string{"east", "north", "south"} {
				if isHome(r.Homes(), region) {
					serving = append(serving, region)
				}
			}
			Expect(serving).To(Equal(c.MayServe))
			Expect(c.Route).To(Equal(before))
		})
	}
})

var _ = Describe("the workspaces that can be used", func() {
	It("have the keys that identify one of them, and no wrong figures", func() {
		wrong := -1
		usable, problems := route.Usable(route.Document{RequiresKeys: true, Workspaces: []route.Workspace{
			{Name: "a", Keys: []string{"own", "shared", ""}, Priority: &wrong, Quota: route.Quota{PerSecond: -1, Burst: -2, PlainTokens: -3}},
			{Name: "b", Keys: []string{"shared", "twice", "twice"}},
			{Name: "a", Keys: []string{"of the second"}},
			{Keys: []string{"of none"}},
		}})
		Expect(usable.RequiresKeys).To(BeTrue())
		Expect(usable.Workspaces).To(Equal([]route.Workspace{{Name: "a", Keys: []string{"own"}}, {Name: "b", Keys: []string{"twice", "twice"}}}))
		Expect(problems).To(HaveLen(9))
	})
})

var _ = DescribeTable("the cost of a call", func(q route.Quota, tokens, cost float64) {
	Expect(q.Cost(tokens)).To(Equal(cost))
},
	Entry("is one where calls count", route.Quota{Unit: route.Calls, PlainTokens: 9}, 5.0, 1.0),
	Entry("is one where calls count and no tokens are stated", route.Quota{Unit: route.Calls, PlainTokens: 9}, -1.0, 1.0),
	Entry("is that of its tokens", route.Quota{Unit: route.Tokens, PlainTokens: 9}, 5.0, 5.0),
	Entry("is nothing for no tokens", route.Quota{Unit: route.Tokens, PlainTokens: 9}, 0.0, 0.0),
	Entry("is a fixed one if it states no tokens", route.Quota{Unit: route.Tokens, PlainTokens: 9}, -1.0, 9.0),
)
