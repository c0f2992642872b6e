package permission_test

import (
	"encoding/json"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/permission"
)

// Guards against bodies with homes that go to an address whose owner was seen there too long ago (HOME).
var _ = Describe("a host, where a target may have been replaced", func() {
	data, err := os.ReadFile("testdata/locations.json")
	if err != nil {
		panic(err)
	}
	var cases []struct {
		Name, Witness string
		Homes         []string
		AgeMs         int64
		Admitted      bool
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	witnesses := map[string]permission.LocationWitness{}
	for _, w := range []permission.LocationWitness{permission.Unseen, permission.Answered, permission.Connected} {
		witnesses[w.String()] = w
	}
	for _, c := range cases {
		It(c.Name, func() {
			Expect(witnesses).To(HaveKey(c.Witness))
			l := permission.Location{Witness: witnesses[c.Witness], Age: time.Duration(c.AgeMs) * time.Millisecond}
			Expect(l.Admits(permission.NewHomes(c.Homes), 2*time.Second)).To(Equal(c.Admitted))
		})
	}
})
