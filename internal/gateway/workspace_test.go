package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/allowance"
	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/continuation"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/route"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

// handClock is a clock that is set by hand.
type handClock struct {
	clock.System
	now time.Time
}

func (c *handClock) Now() time.Time { return c.now }

// member of a group for which another host reads.
type followingGroup struct{}

func (followingGroup) IsReader() bool               { return false }
func (followingGroup) StoreAnswered(time.Time) bool { return false }
func (followingGroup) Broadcast(catalogue.Update)   {}

// newProvingGateway returns the parts of a gateway that prove that its configuration is the newest one. The machine
// was suspended for the returned time.
func newProvingGateway(revocationMs float64) (g *Gateway, c *handClock, suspended *time.Duration) {
	c, suspended = &handClock{now: time.Unix(1000, 0)}, new(time.Duration)
	g = &Gateway{
		settings: Settings{RevocationMs: revocationMs}, clock: c, started: c.now, log: logr.Discard(), metrics: newMetrics(), balancer: balance.NewBalancer("north", 1),
		lastMessages: map[string]messageStamp{"other": {incarnation: 1, report: 5}}, signer: seal.New("key"),
	}
	g.quotas.limiter = allowance.New("host", g.clock.Now())
	g.sinceBoot = func() time.Duration { return c.now.Sub(g.started) + *suspended }
	g.follower = catalogue.NewFollower(catalogue.New(nil, nil), nil, nil, followingGroup{}, c, logr.Discard())
	return g, c, suspended
}

// Guards against a withdrawn key that runs at a host which is out of touch for longer than the operator allows.
func TestProvesKeys(t *testing.T) {
	for _, c := range []struct {
		name         string
		revocationMs float64
		contact      bool
		age          time.Duration
		proves       bool
	}{
		{"without contact since the start", 5000, false, 0, false},
		{"just in touch", 5000, true, 0, true},
		{"right before the limit", 5000, true, 4499 * time.Millisecond, true},
		{"at the limit", 5000, true, 4500 * time.Millisecond, false},
		{"out of touch for an hour", 5000, true, time.Hour, false},
		{"by the lowest limit", minRevocationMs, true, 2500 * time.Millisecond, false},
		{"without a limit", 0, false, time.Hour, true},
	} {
		g, hand, _ := newProvingGateway(c.revocationMs)
		if c.contact {
			g.follower.HandleUpdate(catalogue.Update{Revision: 1}, g.follower.NewContact().At(hand.now))
		}
		hand.now = hand.now.Add(c.age)
		NewWithT(t).Expect(g.provesKeys()).To(Equal(c.proves), c.name)
	}
}

// Guards against ages that leave out a suspension of the machine which no other task has noticed yet, and against
// ages that become smaller by rounding.
func TestStatedAges(t *testing.T) {
	expect := NewWithT(t).Expect
	g, hand, suspended := newProvingGateway(5000)
	g.follower.HandleUpdate(catalogue.Update{Revision: 1}, g.follower.NewContact().At(hand.now))
	read := catalogue.Update{Revision: 2, AsOf: hand.now.Add(time.Microsecond)}
	hand.now = hand.now.Add(1200 * time.Microsecond)
	expect(*g.contactAgeMs()).To(Equal(int64(2)))
	m := g.newUpdateMessage("other", read)
	expect(m.AgeMs).To(Equal(int64(2)))
	expect(m.Heard).To(Equal(uint64(5)))
	*suspended = time.Minute
	m = g.newUpdateMessage("other", read)
	expect(m.Heard).To(BeZero(), "an update from before a suspension proves nothing")
	expect(g.contactAgeMs()).To(BeNil())
	*suspended += time.Minute
	g.follower.HandleUpdate(catalogue.Update{Revision: 1}, g.follower.NewContact().At(hand.now))
	expect(g.contactAgeMs()).To(BeNil())
}

// Guards against a credential that a host takes for a version of a stream, or the other way round, and against
// signatures that hosts of the build before do not verify.
func TestSignedParts(t *testing.T) {
	expect := NewWithT(t).Expect
	sign := func(name string) string {
		request := &fasthttp.Request{}
		request.Header.SetRequestURI("/a")
		if name != "" {
			request.Header.Set(name, "5")
		}
		return seal.New("key").Sign(signedParts(request)...)
	}
	signatures := map[string]bool{}
	for _, name := range []string{"", headerVersion, headerCredential} {
		signatures[sign(name)] = true
	}
	expect(signatures).To(HaveLen(3))
	empty := []byte{}
	expect(sign("")).To(Equal(seal.New("key").Sign([]byte("GET"), []byte("/a"), empty, empty, empty, empty, empty, empty, empty)))
}

// Guards against calls of a workspace at hosts of the build before, which pass the key on and know no workspaces.
func TestUnderstands(t *testing.T) {
	for protocol, understands := range []bool{false, false, true} {
		c := &activeCall{workspace: &route.Workspace{}}
		c.work.Version = continuation.Unknown
		NewWithT(t).Expect(c.understands(member.Info{Protocol: protocol})).To(Equal(understands))
	}
}
