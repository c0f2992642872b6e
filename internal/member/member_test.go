package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/member"
)

// cluster runs the tables of several hosts on a virtual clock. It can drop messages and
// pause or kill hosts.
type cluster struct {
	now    time.Time
	random *rand.Rand
	loss   float64
	tables map[string]*member.Table
	paused map[string]bool
	dead   map[string]bool
}

func newCluster(hosts int, loss float64) *cluster {
	c := &cluster{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 1)), loss: loss,
		tables: map[string]*member.Table{}, paused: map[string]bool{}, dead: map[string]bool{},
	}
	for i := range hosts {
		c.tables[fmt.Sprintf("host-%02d", i)] = member.NewTable(c.now, info(i))
	}
	for _, t := range c.tables {
		for i := range hosts {
			t.Apply(c.now, info(i))
		}
	}
	return c
}

func info(i int) member.Info {
	return member.Info{Host: fmt.Sprintf("host-%02d", i), Region: "celje", DataCentre: "celje-1", Incarnation: 1_700_000_000_000}
}

func (c *cluster) unreachable(host string) bool { return c.paused[host] || c.dead[host] }

func (c *cluster) dropped() bool { return c.random.Float64() < c.loss }

// step advances the clock by one heartbeat interval and delivers the messages due.
func (c *cluster) step() {
	c.now = c.now.Add(member.HeartbeatInterval)
	for name, t := range c.tables {
		if c.unreachable(name) {
			continue
		}
		for _, to := range t.Successors() {
			if !c.unreachable(to.Host) && !c.dropped() {
				c.tables[to.Host].RecordHeartbeat(c.now, name, t.Self().Incarnation)
			}
		}
	}
	for name, t := range c.tables {
		if c.unreachable(name) {
			continue
		}
		for _, item := range t.Tick(c.now) {
			c.broadcast(name, item)
		}
	}
}

func (c *cluster) broadcast(from string, item bulletin.Item) {
	record, err := member.FromItem(item)
	Expect(err).NotTo(HaveOccurred())
	for name, t := range c.tables {
		if name == from || c.unreachable(name) || c.dropped() {
			continue
		}
		if _, refutation := t.Apply(c.now, record); refutation != nil {
			c.broadcast(name, *refutation)
		}
	}
}

func (c *cluster) inUse(at, host string) bool {
	found, ok := c.tables[at].Find(host)
	return ok && found.InUse()
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

var _ = Describe("membership", func() {
	const hosts = 20
	// A killed host must be out of use in its data centre within 3 s.
	const detection = 3 * time.Second

	It("takes a killed host out of use everywhere within 3 s", func() {
		c := newCluster(hosts, 0.01)
		c.run(30 * time.Second)
		c.dead["host-07"] = true
		c.run(detection)
		for name := range c.tables {
			if name != "host-07" {
				Expect(c.inUse(name, "host-07")).To(BeFalse(), name)
			}
		}
	})

	It("marks no host as gone in an hour of 1% message loss", func() {
		c := newCluster(hosts, 0.01)
		for range 3600 {
			c.run(time.Second)
			for at, t := range c.tables {
				for _, m := range t.All() {
					Expect(m.Status).NotTo(Equal(member.Gone), "%s of %s", at, m.Host)
				}
			}
		}
	})

	It("returns a host to use that was paused for 5 s, without marking it as gone", func() {
		c := newCluster(hosts, 0)
		c.run(30 * time.Second)
		c.paused["host-03"] = true
		c.run(5 * time.Second)
		Expect(c.inUse("host-04", "host-03")).To(BeFalse())
		delete(c.paused, "host-03")
		c.run(time.Second)
		for name, t := range c.tables {
			found, _ := t.Find("host-03")
			if name == "host-03" || found.Status == member.Alive {
				continue
			}
			// The resumed host receives the suspicion from any host that still holds it.
			_, refutation := c.tables["host-03"].Apply(c.now, found)
			Expect(refutation).NotTo(BeNil())
			c.broadcast("host-03", *refutation)
		}
		for name := range c.tables {
			Expect(c.inUse(name, "host-03")).To(BeTrue(), name)
		}
	})

	It("prefers the record of a restarted host to later records of its previous incarnation", func() {
		t := member.NewTable(time.Unix(0, 0), info(0))
		old, restarted := info(1), info(1)
		restarted.Incarnation += 1000
		t.Apply(time.Unix(1, 0), old)
		t.Apply(time.Unix(2, 0), restarted)
		changed, _ := t.Apply(time.Unix(3, 0), old.WithStatus(member.Gone))
		Expect(changed).To(BeFalse())
		found, _ := t.Find("host-01")
		Expect(found).To(Equal(restarted))
	})

	It("overrides its previous incarnation when the clock was set back before the restart", func() {
		now := time.Unix(1000, 0)
		old := info(1)
		old.Incarnation = 5000
		restartedInfo := info(1)
		restartedInfo.Incarnation = 3000
		restarted, other := member.NewTable(now, restartedInfo), member.NewTable(now, info(2))
		other.Apply(now, old)
		_, refutation := restarted.Apply(now, old)
		Expect(refutation).NotTo(BeNil())
		record, err := member.FromItem(*refutation)
		Expect(err).NotTo(HaveOccurred())
		changed, _ := other.Apply(now, record)
		Expect(changed).To(BeTrue())
		known, _ := other.Find(info(1).Host)
		Expect(known.Incarnation).To(BeNumerically(">", old.Incarnation))
		Expect(known.InUse()).To(BeTrue())
	})

	It("keeps leaving hosts out of use for the rest of their incarnation", func() {
		t := member.NewTable(time.Unix(0, 0), info(0))
		leaving := info(1).WithLeaving()
		t.Apply(time.Unix(1, 0), leaving)
		t.Apply(time.Unix(2, 0), info(1))
		found, _ := t.Find("host-01")
		Expect(found.InUse()).To(BeFalse())
	})

	It("rejects an item whose stamp does not match its value", func() {
		item := info(1).Item()
		item.Stamp += 4
		_, err := member.FromItem(item)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the heartbeats of a host", func() {
	It("are more frequent right after its start, as other hosts may start at the same time", func() {
		Expect(member.IntervalForUptime(0)).To(BeNumerically("<=", member.HeartbeatInterval/4))
		Expect(member.IntervalForUptime(time.Second)).To(Equal(member.IntervalForUptime(0)))
		Expect(member.IntervalForUptime(10 * time.Second)).To(Equal(member.HeartbeatInterval))
	})
})
