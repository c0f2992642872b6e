package gateway

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/allowance"
	"github.com/sequoiarack/sequoiarack/internal/balance"
	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/bulletin"
	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/clock"
	"github.com/sequoiarack/sequoiarack/internal/delta"
	"github.com/sequoiarack/sequoiarack/internal/exchange"
	"github.com/sequoiarack/sequoiarack/internal/gossip"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
	"github.com/sequoiarack/sequoiarack/internal/member"
	"github.com/sequoiarack/sequoiarack/internal/memory"
	"github.com/sequoiarack/sequoiarack/internal/permission"
	"github.com/sequoiarack/sequoiarack/internal/route"
	"github.com/sequoiarack/sequoiarack/internal/seal"
)

const evidenceName = "shop.example"

// scriptedAnswer is how a host answers whether it has a newer configuration.
type scriptedAnswer struct {
	Silent       bool
	DelayMs      int64
	SuspendMs    int64 // for which the machine of the host that asks is suspended before the answer
	Status       int   // instead of 200
	Host         string
	Legacy       bool // of a build that names neither itself nor an age
	Version      uint64
	Homes        []string
	ContactAgeMs *int64
}

// evidenceStep is one event in the life of a host of the north.
type evidenceStep struct {
	NewsAgeMs *int64 // of the news that come from the store
	Version   uint64 // that they bring
	Homes     []string
	PauseMs   int64
	SuspendMs int64
	Answers   map[string]scriptedAnswer // by host, from now on
	Seek      bool
	Expected  *struct {
		Witness  string
		AgeMs    int64
		Version  uint64
		Regions  []string
		Verdicts map[string]string // by use and region
		Asked    map[string]int    // queries since the step before, by host
		Avoided  []string
	}
}

// scriptedDecoder decodes entries that tests write.
type scriptedDecoder struct{}

func (scriptedDecoder) Decode(_ string, value []byte) (catalogue.DecodedEntry, error) {
	out := catalogue.DecodedEntry{Kind: catalogue.Configuration}
	if value == nil {
		return out, nil
	}
	err := json.Unmarshal(value, &out.Document)
	return out, err
}

// configurationEvent returns a configuration as it is in the store.
func configurationEvent(version uint64, homes []string) keyvalue.Event {
	value, err := json.Marshal(route.Document{
		Version:  version,
		Routes:   []route.Route{{Name: "home", Host: evidenceName, PathPrefix: "/", MaxAttempts: 1, HomeRegions: homes, Splits: []route.Split{{Service: "desk", Weight: 1}}}},
		Services: []route.Service{{Name: "desk"}},
	})
	if err != nil {
		panic(err)
	}
	return keyvalue.Event{Entry: keyvalue.Entry{Key: "configuration", Value: value, ModRevision: int64(version)}}
}

// scriptedFleet is the network of the host that asks.
type scriptedFleet struct {
	suspended atomic.Int64      // of the machine of that host, in ms
	hosts     map[string]string // by peer address
	mu        sync.Mutex        // guards all below
	answers   map[string]scriptedAnswer
	asked     map[string]int
}

// DialContext connects with the host at an address.
func (f *scriptedFleet) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go f.serve(far, f.hosts[address])
	return near, nil
}

func (f *scriptedFleet) serve(c net.Conn, host string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		var request fasthttp.Request
		if request.Read(r) != nil {
			return
		}
		f.mu.Lock()
		answer := f.answers[host]
		f.asked[host]++
		f.mu.Unlock()
		if answer.Silent {
			_, _ = r.ReadByte() // until the other side gives up
			return
		}
		time.Sleep(time.Duration(answer.DelayMs) * time.Millisecond)
		f.suspended.Add(answer.SuspendMs)
		if answer.write(c, host, string(request.Header.Peek(headerNumber))) != nil {
			return
		}
	}
}

// write writes the answer of a host to a numbered request.
func (a scriptedAnswer) write(w io.Writer, host, number string) error {
	status := cmp.Or(a.Status, http.StatusOK)
	if a.Status == 0 && a.Legacy && a.Version == 0 {
		status = http.StatusNoContent
	}
	body := configurationBody{Update: catalogue.Update{Partial: true}}
	if !a.Legacy {
		body.Host, body.ContactAgeMs = cmp.Or(a.Host, host), a.ContactAgeMs
	}
	if a.Version > 0 {
		body.Events = append(body.Events, configurationEvent(a.Version, a.Homes))
	}
	var data []byte
	if status == http.StatusOK {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d Status\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, headerNumber, number, len(data), data)
	return err
}

// discardingConn loses all datagrams.
type discardingConn struct{ net.PacketConn }

func (discardingConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// newAskingGateway returns the parts of a gateway in the north that find out whether its configuration is in force. It
// knows the other hosts.
func newAskingGateway(fleet *scriptedFleet, hosts []member.Info) *Gateway {
	k := clock.System{}
	g := &Gateway{
		settings: Settings{Host: "north-0", Region: "north", DataCentres: map[string]string{"north": "north", "south": "south", "west": "west"}}, clock: k, started: k.Now(), log: logr.Discard(), metrics: newMetrics(), signer: seal.New("key"),
		balancer: balance.NewBalancer("north", 1), lastMessages: map[string]messageStamp{}, hostAnswers: map[string]hostAnswer{}, regionLastSeen: map[string]time.Time{}, avoidUntil: map[string]time.Time{},
		codec: delta.NewCodec(maxPeerResponseBytes), bandwidth: bandwidth.NewBudget(k, 0),
	}
	g.sinceBoot = func() time.Duration {
		return k.Now().Sub(g.started) + time.Duration(fleet.suspended.Load())*time.Millisecond
	}
	g.quotas.limiter = allowance.New(g.settings.Host, g.started)
	g.controlPool = exchange.NewPool(fleet, exchange.WithNumbers(headerNumber))
	g.controlMemory = exchange.NewMemoryBudget(maxPeerResponseBytes, exchange.WithinBudget(memory.Share{Budget: memory.NewMachineBudget(0), Kind: memory.Control}))
	g.catalogue = catalogue.New(scriptedDecoder{}, nil, catalogue.WithClock(k))
	g.follower = catalogue.NewFollower(g.catalogue, nil, nil, followingGroup{}, k, logr.Discard())

	self := member.Info{Host: g.settings.Host, Region: g.settings.Region, DataCentre: g.settings.Region, PeerAddress: "10.0.0.1:1"}
	g.gossip = gossip.New(discardingConn{}, g.signer, self, gossip.WithSeeds([]string{"10.0.0.9:1"}), gossip.WithFetch(func(context.Context, string) ([]bulletin.Item, error) {
		var items []bulletin.Item
		for _, h := range hosts {
			items = append(items, h.Item())
		}
		return items, nil
	}))
	ctx, stop := context.WithCancel(context.Background())
	var joined sync.WaitGroup
	joined.Go(func() { _ = g.gossip.Run(ctx) })
	joined.Go(func() { _ = g.gossip.Sync(ctx) })
	for len(g.gossip.View().Members) <= len(hosts) {
		time.Sleep(time.Millisecond)
	}
	stop()
	joined.Wait()
	return g
}

// check compares what the host knows, and what it permits, with what is expected.
func (s evidenceStep) check(t *testing.T, n int, g *Gateway, asked map[string]int) {
	expect, want := NewWithT(t).Expect, s.Expected
	e := g.evidence()
	expect(e.Witness.String()).To(Equal(want.Witness), "step %d", n)
	if e.Witness != permission.Nobody {
		expect(e.Age.Milliseconds()).To(Equal(want.AgeMs), "step %d", n)
		expect(e.Regions).To(ConsistOf(want.Regions), "step %d", n)
	}
	expect(g.configurationVersion()).To(Equal(want.Version), "step %d", n)
	homes := g.catalogue.Snapshot().Table.Homes(evidenceName)
	for _, use := range []permission.Use{permission.Name, permission.Forward, permission.Run} {
		for _, region := range []string{"north", "south", "west"} {
			if verdict, ok := want.Verdicts[use.String()+" "+region]; ok {
				got := g.permits(use, homes, region)
				expect(got.String()).To(Equal(verdict), "step %d: %s %s", n, use, region)
			}
		}
	}
	for host, times := range want.Asked {
		expect(asked[host]).To(Equal(times), "step %d: %s was asked", n, host)
	}
	for _, host := range want.Avoided {
		expect(g.avoidUntil[host]).To(BeTemporally(">", g.clock.Now()), "step %d: %s", n, host)
	}
}

// Guards against regions that are named, and bodies that are sent, by a configuration that may not be in force any
// more: its age is left out or is too small after a suspension, or a host vouches for it that cannot know (HOME).
func TestEvidence(t *testing.T) {
	data, err := os.ReadFile("testdata/evidence.json")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	var script struct {
		Hosts []member.Info
		Cases []struct {
			Name  string
			Steps []evidenceStep
		}
	}
	NewWithT(t).Expect(json.Unmarshal(data, &script)).To(Succeed())
	for _, c := range script.Cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := &scriptedFleet{hosts: map[string]string{}, answers: map[string]scriptedAnswer{}, asked: map[string]int{}}
				for _, h := range script.Hosts {
					fleet.hosts[h.PeerAddress] = h.Host
				}
				g := newAskingGateway(fleet, script.Hosts)
				defer g.controlPool.Close()
				for n, s := range c.Steps {
					s.play(t, n, g, fleet)
				}
			})
		})
	}
}

func (s evidenceStep) play(t *testing.T, n int, g *Gateway, fleet *scriptedFleet) {
	if s.NewsAgeMs != nil {
		u := catalogue.Update{Revision: g.catalogue.Snapshot().Revision}
		if s.Version > 0 {
			u.Revision, u.Events = int64(s.Version), []keyvalue.Event{configurationEvent(s.Version, s.Homes)}
		}
		g.follower.HandleUpdate(u, g.follower.NewContact().At(g.clock.Now().Add(-time.Duration(*s.NewsAgeMs)*time.Millisecond)))
	}
	time.Sleep(time.Duration(s.PauseMs) * time.Millisecond)
	fleet.suspended.Add(s.SuspendMs)
	fleet.mu.Lock()
	for host, answer := range s.Answers {
		fleet.answers[host] = answer
	}
	clear(fleet.asked)
	fleet.mu.Unlock()
	if s.Seek {
		g.seekEvidence(context.Background())
	}
	if s.Expected != nil {
		fleet.mu.Lock()
		defer fleet.mu.Unlock()
		s.check(t, n, g, fleet.asked)
	}
}

// Guards against hosts that vouch for a configuration although they may not have heard yet what the others know (HOME).
func TestMayVouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 4 * time.Second
		expect := NewWithT(t).Expect
		fleet := &scriptedFleet{hosts: map[string]string{}, answers: map[string]scriptedAnswer{}, asked: map[string]int{}}
		g := newAskingGateway(fleet, nil)
		defer g.controlPool.Close()
		g.follower.HandleUpdate(catalogue.Update{Revision: 9, Events: []keyvalue.Event{configurationEvent(9, nil)}}, g.follower.NewContact())
		vouches := func() bool {
			ctx := &fasthttp.RequestCtx{}
			ctx.Request.Header.Set(headerKnown, "9")
			g.serveConfiguration(ctx)
			return ctx.Response.StatusCode() == http.StatusOK
		}
		poll := func(d time.Duration) {
			for range d / doubtPollInterval {
				time.Sleep(doubtPollInterval)
				g.balancer.DueDoubts(g.clock.Now())
			}
		}
		poll(permission.MaxAge - doubtPollInterval)
		expect(vouches()).To(BeFalse(), "it has just started")
		poll(doubtPollInterval)
		expect(vouches()).To(BeTrue())
		time.Sleep(pause)
		expect(vouches()).To(BeFalse(), "it was paused")
		poll(time.Second)
		expect(vouches()).To(BeFalse(), "it was paused a short time ago")
		poll(permission.MaxAge)
		expect(vouches()).To(BeTrue())
		time.Sleep(pause)
		g.follower.HandleUpdate(catalogue.Update{Revision: 9}, g.follower.NewContact().At(g.clock.Now()))
		expect(vouches()).To(BeTrue(), "it was paused, and has news from the store")
	})
}

// Guards against a host without a configuration that vouches for that of another one (HOME).
func TestServeConfiguration(t *testing.T) {
	for _, c := range []struct {
		name              string
		version           uint64
		contact           bool
		uptime, pausedFor time.Duration
		status            int
	}{
		{"no configuration", 0, false, time.Minute, 0, http.StatusServiceUnavailable},
		{"just started, without news", 9, false, time.Second, 0, http.StatusServiceUnavailable},
		{"just started, with news", 9, true, time.Second, 0, http.StatusOK},
		{"long without news", 9, false, time.Minute, 0, http.StatusOK},
		{"was suspended", 9, true, time.Minute, time.Minute, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			fleet := &scriptedFleet{}
			g := newAskingGateway(fleet, nil)
			defer g.controlPool.Close()
			time.Sleep(c.uptime)
			if c.version > 0 {
				contact := g.follower.NewContact()
				if c.contact {
					contact = contact.At(g.clock.Now())
				}
				g.follower.HandleUpdate(catalogue.Update{Revision: int64(c.version), Events: []keyvalue.Event{configurationEvent(c.version, nil)}}, contact)
			}
			fleet.suspended.Add(c.pausedFor.Milliseconds())
			ctx := &fasthttp.RequestCtx{}
			ctx.Request.Header.Set(headerKnown, "9")
			g.serveConfiguration(ctx)
			NewWithT(t).Expect(ctx.Response.StatusCode()).To(Equal(c.status), c.name)
		})
	}
}
