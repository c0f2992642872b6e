package delta_test

import (
	"bytes"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiarack/sequoiarack/internal/delta"
	"github.com/sequoiarack/sequoiarack/internal/failure"
)

const limit = 8 << 20

// configuration returns a value like a configuration, in which one route states its version.
func configuration(routes, version int) []byte {
	var b strings.Builder
	for i := range routes {
		timeout := 1500
		if i == routes/2 {
			timeout += version
		}
		fmt.Fprintf(&b, `{"name":"route%d","host":"shop%d.example","path_prefix":"/route%d/","service":"desk","timeout_ms":%d},`, i, i%97, i*7919%10007, timeout)
	}
	return []byte(b.String())
}

func kindOf(err error) delta.Kind {
	kind, ok := failure.KindOf[delta.Kind](err)
	ExpectWithOffset(1, ok).To(BeTrue(), "%v", err)
	return kind
}

var _ = Describe("Encode", func() {
	It("is undone by Decode with the same base", func() {
		codec := delta.NewCodec(limit)
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
			value := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "value")
			if rapid.Bool().Draw(t, "like the base") {
				value = bytes.Join([][]byte{base, value, base}, nil)
			}
			encoded, err := codec.Encode(value, base)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := codec.Decode(encoded, base)
			if err != nil || !bytes.Equal(decoded, value) {
				t.Fatalf("decoded %d of %d bytes: %v", len(decoded), len(value), err)
			}
			if _, err := codec.Decode(encoded, append([]byte("other"), base...)); kindOf(err) != delta.OtherBase {
				t.Fatal(err)
			}
		})
	})

	// Guards against configurations that are sent whole to all hosts of a data centre at each change.
	DescribeTable("takes next to no bytes for what the base has", func(routes int) {
		before, after := configuration(routes, 1), configuration(routes, 2)
		codec := delta.NewCodec(limit)
		encoded, err := codec.Encode(after, before)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(encoded)).To(BeNumerically("<", 1000))
		Expect(codec.Decode(encoded, before)).To(Equal(after))
	}, Entry("of the usual length", 50), Entry("of the longest", 9000))
})

var _ = Describe("Decode", func() {
	It("rejects what is no encoded value, or is too long", func() {
		value := configuration(1000, 1)
		codec := delta.NewCodec(limit)
		encoded, err := codec.Encode(value, nil)
		Expect(err).NotTo(HaveOccurred())
		for n := range len(encoded) {
			_, err := codec.Decode(encoded[:n], nil)
			Expect(kindOf(err)).To(Equal(delta.Malformed))
		}
		_, err = delta.NewCodec(len(value)-1).Decode(encoded, nil)
		Expect(kindOf(err)).To(Equal(delta.Malformed))
	})
})
