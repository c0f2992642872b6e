package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/route"
)

// Guards against bodies that go to the address of a host by what showed that it is there too long ago, before a suspension
// of the machine, or of an earlier process (HOME).
func TestHostLocationAge(t *testing.T) {
	host := member.Info{Host: "south-0", Region: "south", Incarnation: 7}
	for _, c := range []struct {
		name      string
		message   int64 // incarnation of the process that has sent a message, 0 for none
		responds  bool
		pause     time.Duration
		suspended time.Duration
		proven    bool
	}{
		{name: "nothing was heard"},
		{name: "just responded", responds: true, proven: true},
		{name: "responded lately", responds: true, pause: defaultReuseTime - hostLocationMargin - time.Millisecond, proven: true},
		{name: "responded too long ago", responds: true, pause: defaultReuseTime - hostLocationMargin},
		{name: "responded before a suspension", responds: true, suspended: time.Minute},
		{name: "just sent a message", message: 7, proven: true},
		{name: "sent a message too long ago", message: 7, pause: defaultReuseTime - hostLocationMargin},
		{name: "sent a message before a suspension", message: 7, suspended: time.Minute},
		{name: "another process sent a message", message: 8},
	} {
		expect := NewWithT(t).Expect
		g, hand, suspended := newProvingGateway(0)
		g.hostAnswers = map[string]hostAnswer{}
		if c.message != 0 {
			g.lastMessages[host.Host] = messageStamp{incarnation: c.message, at: hand.now}
		}
		if c.responds {
			g.recordHostAnswer(host, g.moment())
		}
		hand.now = hand.now.Add(c.pause)
		*suspended = c.suspended
		restricted := &activeCall{gateway: g, route: &route.Route{HomeRegions: []string{"south"}}}
		expect(restricted.checkHostLocation(host) == nil).To(Equal(c.proven), c.name)
		expect((&activeCall{gateway: g, route: &route.Route{}}).checkHostLocation(host)).To(Succeed(), c.name)
	}
}

// Guards against a response to a request from before a suspension of the machine that passes for one from after it.
func TestHostAnswerAcrossSuspension(t *testing.T) {
	expect := NewWithT(t).Expect
	g, hand, suspended := newProvingGateway(0)
	g.hostAnswers = map[string]hostAnswer{}
	host := member.Info{Host: "south-0", Region: "south", Incarnation: 7}
	sent := g.moment()
	*suspended = time.Minute
	g.noticeSuspension()
	g.recordHostAnswer(host, sent)
	_, ok := g.hostLocationAge(host)
	expect(ok).To(BeFalse())
	hand.now = hand.now.Add(time.Millisecond)
	g.recordHostAnswer(host, g.moment())
	_, ok = g.hostLocationAge(host)
	expect(ok).To(BeTrue())
}
