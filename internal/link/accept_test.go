package link_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/link"
)

// failingListener fails its first calls of Accept.
type failingListener struct {
	net.Listener
	failures []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	if len(f.failures) == 0 {
		return f.Listener.Accept()
	}
	err := f.failures[0]
	f.failures = f.failures[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() }) // the test may have closed it
	return l
}

var _ = Describe("IsRejection", func() {
	It("tells a peer that refuses or closes from one that is silent", func() {
		for _, err := range []error{io.EOF, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE} {
			Expect(link.IsRejection(&net.OpError{Op: "read", Err: err})).To(BeTrue(), err.Error())
		}
		for _, err := range []error{syscall.ETIMEDOUT, os.ErrDeadlineExceeded, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
			Expect(link.IsRejection(&net.OpError{Op: "dial", Err: err})).To(BeFalse(), err.Error())
		}
	})
})

var _ = Describe("RetryAccept", func() {
	// Guards against a process that ends, with all that is under way, because one connection could not be
	// accepted.
	It("goes on after errors that pass, and ends when the listener is closed", func() {
		inner := listen()
		var seen []error
		failures := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
		l := link.RetryAccept(&failingListener{Listener: inner, failures: failures}, func(err error) { seen = append(seen, err) })
		c, err := net.Dial("tcp", inner.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.Close()).To(Succeed())
		Expect(seen).To(HaveLen(len(failures)))
		for i, failure := range failures {
			Expect(errors.Is(seen[i], failure)).To(BeTrue())
		}
		Expect(inner.Close()).To(Succeed())
		_, err = l.Accept()
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
