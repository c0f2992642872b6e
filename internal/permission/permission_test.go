package permission_test

import (
	"encoding/json"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/permission"
)

// Guards against bodies that go where a configuration permitted that may not be in force any more (HOME).
var _ = Describe("a host of the region own", func() {
	data, err := os.ReadFile("testdata/decisions.json")
	if err != nil {
		panic(err)
	}
	var cases []struct {
		Name, Use, Region, Witness, Verdict string
		Homes                               [][]string
		Nowhere                             bool
		AgeMs                               int64
		Isolated                            bool
		Regions                             []string
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	uses, witnesses := map[string]permission.Use{}, map[string]permission.Witness{}
	for _, u := range []permission.Use{permission.Run, permission.Forward, permission.Name} {
		uses[u.String()] = u
	}
	for _, w := range []permission.Witness{permission.Nobody, permission.Hosts, permission.Store} {
		witnesses[w.String()] = w
	}
	for _, c := range cases {
		It(c.Name, func() {
			homes := permission.NewHomes(c.Homes...)
			if c.Nowhere {
				homes = homes.WithAll(permission.Nowhere())
			}
			Expect(uses).To(HaveKey(c.Use))
			Expect(witnesses).To(HaveKey(c.Witness))
			e := permission.Evidence{Witness: witnesses[c.Witness], Age: time.Duration(c.AgeMs) * time.Millisecond, Regions: c.Regions, Isolated: c.Isolated}
			fleet := permission.Fleet{Own: "own", Regions: []string{"north", "own", "south", "west"}}
			Expect(permission.Decide(uses[c.Use], homes, fleet, c.Region, e).String()).To(Equal(c.Verdict))
		})
	}
})

var _ = Describe("Homes", func() {
	It("are restricted and compared by their lists", func() {
		Expect(permission.NewHomes(nil, nil).Restricted()).To(BeFalse())
		Expect(permission.NewHomes(nil, []string{"a"}).Restricted()).To(BeTrue())
		Expect(permission.Nowhere().Restricted()).To(BeTrue())
		Expect(permission.NewHomes([]string{"a"}, nil).Equal(permission.NewHomes([]string{"a"}))).To(BeTrue())
		Expect(permission.NewHomes([]string{"a"}).Equal(permission.NewHomes([]string{"b"}))).To(BeFalse())
		Expect(permission.NewHomes().Equal(permission.Nowhere())).To(BeFalse())
	})
})
