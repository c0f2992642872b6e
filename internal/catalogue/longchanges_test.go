package catalogue_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiarack/sequoiarack/internal/catalogue"
	"github.com/sequoiarack/sequoiarack/internal/failure"
	"github.com/sequoiarack/sequoiarack/internal/keyvalue"
)

// plannedStore answers calls by a script, of which each step names the call and its result.
type plannedStore struct {
	steps    []string
	revision int64
}

// next takes a step that must be for the call.
func (s *plannedStore) next(call string) string {
	step := s.steps[0]
	s.steps = s.steps[1:]
	isRead := strings.HasPrefix(step, "Read")
	ExpectWithOffset(2, call == "Read").To(Equal(isRead), "%s where the script has %s", call, step)
	s.revision++
	return step
}

func (s *plannedStore) Read(context.Context) (keyvalue.Page, error) {
	step := s.next("Read")
	if step == "ReadFails" {
		return keyvalue.Page{}, failure.New("store", keyvalue.Unavailable)
	}
	_, version, _ := strings.Cut(step, " ")
	return keyvalue.Page{Revision: s.revision, Entries: []keyvalue.Entry{{Key: "config", Value: []byte(version), ModRevision: s.revision}}}, nil
}

func (s *plannedStore) Changes(_ context.Context, after int64) ([]keyvalue.Event, int64, error) {
	kinds := map[string]keyvalue.Kind{"TooLong": keyvalue.TooLong, "Compacted": keyvalue.Compacted, "ChangesFail": keyvalue.Unavailable}
	if kind, fails := kinds[s.next("Changes")]; fails {
		return nil, 0, failure.New("store", kind)
	}
	return nil, after, nil
}

var _ = Describe("a host that reads the store", func() {
	data, err := os.ReadFile("testdata/reads.json")
	if err != nil {
		panic(err)
	}
	var cases []struct {
		Name  string
		Calls []string
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		// Guards against reads of long changes that never end in time, while more changes come.
		It("goes on after "+c.Name, func() {
			clock := &manualClock{now: time.Unix(1000, 0)}
			store := &plannedStore{steps: c.Calls}
			own := catalogue.New(testDecoder{}, map[string]string{"n1": "north"}, catalogue.WithClock(clock))
			f := catalogue.NewFollower(own, store, nil, memberGroup{}, clock, logr.Discard())
			f.ReadSeries(context.Background(), len(c.Calls))
			Expect(store.steps).To(BeEmpty())
		})
	}

	// Guards against hosts that wait for changes which no update brings them.
	It("reads at once what an update leaves out", func() {
		clock := &hurriedClock{manualClock{now: time.Unix(1000, 0)}}
		store := &pagingStore{reads: make(chan int64, 8)}
		own := catalogue.New(testDecoder{}, map[string]string{"n1": "north"}, catalogue.WithClock(clock))
		f := catalogue.NewFollower(own, store, nil, memberGroup{}, clock, logr.Discard())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- f.FollowStore(ctx) }()
		Eventually(store.reads).Should(Receive(Equal(int64(0))))
		f.HandleUpdate(catalogue.Update{After: 1, Revision: 1}, catalogue.Contact{})
		Consistently(store.reads, 50*time.Millisecond).ShouldNot(Receive(), "updates come")
		clock.advance(time.Second)
		Expect(f.HandleUpdate(catalogue.Update{After: 1, Revision: 2, Omitted: true}, catalogue.Contact{})).To(Equal(catalogue.ReadsStore))
		Eventually(store.reads).Should(Receive(Equal(int64(1))))
		f.HandleUpdate(catalogue.Update{After: 2, Revision: 2}, catalogue.Contact{})
		clock.advance(time.Second)
		Expect(f.HandleUpdate(catalogue.Update{After: 1, Revision: 2, Omitted: true}, catalogue.Contact{})).To(Equal(catalogue.ReadsStore))
		Consistently(store.reads, 50*time.Millisecond).ShouldNot(Receive(), "it has read them")
		cancel()
		Expect(<-ended).To(Succeed())
	})
})

// pagingStore reports the revisions after which it is read.
type pagingStore struct{ reads chan int64 }

func (s *pagingStore) Read(context.Context) (keyvalue.Page, error) {
	s.reads <- 0
	return keyvalue.Page{Revision: 1, Entries: []keyvalue.Entry{{Key: "config", Value: []byte(fmt.Sprint(1)), ModRevision: 1}}}, nil
}

func (s *pagingStore) Changes(_ context.Context, after int64) ([]keyvalue.Event, int64, error) {
	s.reads <- after
	return nil, 2, nil
}
