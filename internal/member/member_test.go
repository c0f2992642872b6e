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

// world runs the tables of hosts on a virtual clock, with lost and paused
// messages.
type world struct {
	now    time.Time
	random *rand.Rand
	loss   float64
	tables map[string]*member.Table
	paused map[string]bool
	dead   map[string]bool
}

func newWorld(hosts int, loss float64) *world {
	w := &world{
		now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(1, 1)), loss: loss,
		tables: map[string]*member.Table{}, paused: map[string]bool{}, dead: map[string]bool{},
	}
	for i := range hosts {
		w.tables[fmt.Sprintf("host-%02d", i)] = member.NewTable(w.now, info(i))
	}
	for _, t := range w.tables {
		for i := range hosts {
			t.Apply(w.now, info(i))
		}
	}
	return w
}

func info(i int) member.Info {
	return member.Info{Host: fmt.Sprintf("host-%02d", i), Region: "celje", DataCentre: "celje-1", Incarnation: 1_700_000_000_000}
}

func (w *world) deaf(host string) bool { return w.paused[host] || w.dead[host] }

func (w *world) lost() bool { return w.random.Float64() < w.loss }

// step lets one heartbeat interval pass.
func (w *world) step() {
	w.now = w.now.Add(member.HeartbeatInterval)
	for name, t := range w.tables {
		if w.deaf(name) {
			continue
		}
		for _, to := range t.Successors() {
			if !w.deaf(to.Host) && !w.lost() {
				w.tables[to.Host].RecordHeartbeat(w.now, name, t.Self().Incarnation)
			}
		}
	}
	for name, t := range w.tables {
		if w.deaf(name) {
			continue
		}
		for _, item := range t.Tick(w.now) {
			w.spread(name, item)
		}
	}
}

func (w *world) spread(from string, item bulletin.Item) {
	said, err := member.FromItem(item)
	Expect(err).NotTo(HaveOccurred())
	for name, t := range w.tables {
		if name == from || w.deaf(name) || w.lost() {
			continue
		}
		if _, answer := t.Apply(w.now, said); answer != nil {
			w.spread(name, *answer)
		}
	}
}

func (w *world) inUse(at, host string) bool {
	found, ok := w.tables[at].Find(host)
	return ok && found.InUse()
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

var _ = Describe("membership", func() {
	const hosts = 20
	// A killed host is to be out of use within 3 s in its data centre.
	const detection = 3 * time.Second

	It("takes a killed host out of use everywhere within 3 s", func() {
		w := newWorld(hosts, 0.01)
		w.run(30 * time.Second)
		w.dead["host-07"] = true
		w.run(detection)
		for name := range w.tables {
			if name != "host-07" {
				Expect(w.inUse(name, "host-07")).To(BeFalse(), name)
			}
		}
	})

	It("declares nobody gone in an hour of 1% loss", func() {
		w := newWorld(hosts, 0.01)
		for range 3600 {
			w.run(time.Second)
			for at, t := range w.tables {
				for _, m := range t.All() {
					Expect(m.Status).NotTo(Equal(member.Gone), "%s of %s", at, m.Host)
				}
			}
		}
	})

	It("has a host back that was paused for 5 s, without calling it gone", func() {
		w := newWorld(hosts, 0)
		w.run(30 * time.Second)
		w.paused["host-03"] = true
		w.run(5 * time.Second)
		Expect(w.inUse("host-04", "host-03")).To(BeFalse())
		delete(w.paused, "host-03")
		w.run(time.Second)
		for name, t := range w.tables {
			found, _ := t.Find("host-03")
			if name == "host-03" || found.Status == member.Alive {
				continue
			}
			// A paused host hears of its suspicion from any that still holds it.
			_, answer := w.tables["host-03"].Apply(w.now, found)
			Expect(answer).NotTo(BeNil())
			w.spread("host-03", *answer)
		}
		for name := range w.tables {
			Expect(w.inUse(name, "host-03")).To(BeTrue(), name)
		}
	})

	It("believes a restarted host and not the rumour of its old life", func() {
		t := member.NewTable(time.Unix(0, 0), info(0))
		old, fresh := info(1), info(1)
		fresh.Incarnation += 1000
		t.Apply(time.Unix(1, 0), old)
		t.Apply(time.Unix(2, 0), fresh)
		news, _ := t.Apply(time.Unix(3, 0), old.WithStatus(member.Gone))
		Expect(news).To(BeFalse())
		found, _ := t.Find("host-01")
		Expect(found).To(Equal(fresh))
	})

	It("outbids its old life when its clock has fallen back since", func() {
		now := time.Unix(1000, 0)
		old := info(1)
		old.Incarnation = 5000
		young := info(1)
		young.Incarnation = 3000
		restarted, other := member.NewTable(now, young), member.NewTable(now, info(2))
		other.Apply(now, old)
		_, answer := restarted.Apply(now, old)
		Expect(answer).NotTo(BeNil())
		said, err := member.FromItem(*answer)
		Expect(err).NotTo(HaveOccurred())
		news, _ := other.Apply(now, said)
		Expect(news).To(BeTrue())
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

	It("refuses a fact whose stamp does not follow from its value", func() {
		item := info(1).Item()
		item.Stamp += 4
		_, err := member.FromItem(item)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the heartbeats of a host", func() {
	It("come sooner while it has just started, as others may start at the same moment", func() {
		Expect(member.IntervalForUptime(0)).To(BeNumerically("<=", member.HeartbeatInterval/4))
		Expect(member.IntervalForUptime(time.Second)).To(Equal(member.IntervalForUptime(0)))
		Expect(member.IntervalForUptime(10 * time.Second)).To(Equal(member.HeartbeatInterval))
	})
})
