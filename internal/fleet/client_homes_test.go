package fleet_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/fleet"
	"github.com/sequoiarack/sequoiarack/internal/link"
	"github.com/sequoiarack/sequoiarack/internal/standin"
	"github.com/sequoiarack/sequoiarack/pkg/client"
)

// bodyDialer records the addresses to which the bodies of calls are written.
type bodyDialer struct {
	mu   sync.Mutex
	sent []string
}

type bodyConn struct {
	net.Conn
	dialer  *bodyDialer
	address string
}

func (d *bodyDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := link.NewSystem("").DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &bodyConn{Conn: c, dialer: d, address: address}, nil
}

func (c *bodyConn) NetConn() net.Conn { return c.Conn }

func (c *bodyConn) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("messages")) {
		c.dialer.mu.Lock()
		c.dialer.sent = append(c.dialer.sent, c.address)
		c.dialer.mu.Unlock()
	}
	return c.Conn.Write(b)
}

var _ = Describe("the client library", func() {
	// Guards against bodies that leave the home regions of their workspace (HOME): the list of hosts names every
	// region to every caller, and the client goes on to the next host if one does not answer.
	It("sends the body of a call only to hosts of regions in which its data may be", func() {
		ctx := context.Background()
		f, err := fleet.Start(ctx, fleet.Spec{
			Regions:  []fleet.RegionSpec{{Name: "celje", Hosts: 2, Engines: 1, Desks: 1}, {Name: "ravne", Hosts: 2, Engines: 1, Desks: 1}},
			OneWayMs: 55, Engine: standin.EngineOptions{Slots: 8, StepMs: 2, TokensPerStep: 1},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Stop)
		Expect(f.WaitMembers(ctx, 4, f.Hosts)).To(Succeed())
		dialer := &bodyDialer{}
		home := client.New(fleet.HomeKey, []string{f.Hosts[0].Settings.CallerAddress}, client.WithDialer(dialer), client.WithTimeout(5*time.Second))
		defer home.Close()
		Expect(home.Hosts(ctx)).NotTo(BeEmpty())
		for _, h := range hostsOf(f, "celje") {
			f.Kill(h)
		}
		time.Sleep(200 * time.Millisecond)
		_, err = home.Do(ctx, client.Request{Path: chatPath, Body: chat(5)})
		Expect(err).To(HaveOccurred(), "the home of the workspace is down")
		for _, h := range hostsOf(f, "ravne") {
			Expect(dialer.sent).NotTo(ContainElement(h.Settings.CallerAddress))
		}
	})
})
