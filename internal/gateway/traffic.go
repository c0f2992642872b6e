package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/bandwidth"
	"github.com/sequoiarack/sequoiarack/internal/link"
)

// trafficInterval is the interval at which traffic is compared with its share of the link.
const trafficInterval = time.Second

// counted returns a network whose bytes are counted for a purpose.
func (g *Gateway) counted(p bandwidth.Purpose) *link.Counter {
	return link.NewCounter(g.network, link.WithOnBytes(func(sent, received int) {
		g.bandwidth.Count(p, bandwidth.Sent, sent)
		g.bandwidth.Count(p, bandwidth.Received, received)
	}))
}

// listenPacket listens for datagrams whose bytes are counted for a purpose.
func (g *Gateway) listenPacket(address string, p bandwidth.Purpose) (net.PacketConn, error) {
	return g.counted(p).ListenPacket(address)
}

// countReceived counts the body of a request of another host.
func (g *Gateway) countReceived(ctx *fasthttp.RequestCtx) {
	purpose := bandwidth.Calls
	if target := string(ctx.RequestURI()); target == pathPeerUpdate || target == pathPeerUpdateFrame {
		purpose = bandwidth.Updates
	}
	g.bandwidth.Count(purpose, bandwidth.Received, len(ctx.Request.Body()))
}

// watchTraffic logs the purposes whose traffic exceeds its share of the link, until ctx is done.
func (g *Gateway) watchTraffic(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.clock.After(trafficInterval):
		}
		for _, e := range g.bandwidth.Excesses() {
			g.metrics.add(fmt.Sprintf("traffic_excesses_total{purpose=%q}", e.Purpose), 1)
			g.log.Info("Traffic between hosts exceeds its share of the link.", "Purpose", e.Purpose.String(), "BytesPerSecond", int64(e.BytesPerSecond),
				"Share", e.Share, "LinkMbps", g.settings.LinkMbps)
		}
	}
}

// writeTraffic writes the bytes to and from other hosts and the store as metrics.
func (g *Gateway) writeTraffic(w io.Writer) {
	for _, use := range g.bandwidth.Totals() {
		_, _ = fmt.Fprintf(w, "sequoiarack_traffic_bytes_total{purpose=%q,direction=%q} %d\n", use.Purpose, use.Direction, use.Bytes)
	}
}
