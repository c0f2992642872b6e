package exchange_test

import (
	"bufio"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/sequoiarack/sequoiarack/internal/exchange"
)

// Guards against keys of callers in the log, which has the errors.
var _ = DescribeTable("the error for a request outside the grammar does not show the values of", func(lines string) {
	var h fasthttp.RequestHeader
	h.DisableNormalizing()
	Expect(h.Read(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: a\r\n" + lines + "\r\n")))).To(Succeed())
	err := exchange.CheckRequest(&h)
	Expect(err).To(HaveOccurred())
	Expect(err.Error()).NotTo(ContainSubstring("5ecret"))
},
	Entry("a name with a blank in it", "Sequoiarack Credential: 5ecret\r\n"),
	Entry("a continued line", "Sequoiarack-Credential:\r\n 5ecret\r\n"),
	Entry("a continued line after a tab", "X-A: 1\r\n\t5ecret\r\n"),
	Entry("a line that ends without a carriage return", "Sequoiarack-Credential: 5ecret\nX-A: 1\r\n"),
)
