package gateway

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/sequoiarack/sequoiarack/internal/logsink"
)

// Guards against a host that cannot be started again, as the listener of the one before is closed a moment after it
// has ended.
func TestServersHaveClosedTheirListenersWhenTheyEnd(t *testing.T) {
	g := NewWithT(t)
	const addresses, rounds = 60, 300
	var group errgroup.Group
	for n := range addresses {
		group.Go(func() error {
			address := fmt.Sprintf("127.9.%d.%d:8144", os.Getpid()%250, 1+n) // no test of another process has it
			for range rounds {
				listener, err := net.Listen("tcp", address)
				if err != nil {
					return err
				}
				s := namedServer{name: "server", server: &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, Logger: logsink.Discard{}}, listener: listener}
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func() { ended <- s.run(ctx) }()
				cancel()
				if err := <-ended; err != nil {
					return err
				}
			}
			return nil
		})
	}
	g.Expect(group.Wait()).To(Succeed())
}
