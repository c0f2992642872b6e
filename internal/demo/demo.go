package demo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/sequoiarack/sequoiarack/internal/fleet"
	"github.com/sequoiarack/sequoiarack/internal/standin"
	"github.com/sequoiarack/sequoiarack/pkg/client"
)

// Options set where a demo writes and what it does.
type Options struct {
	Out     io.Writer
	Log     io.Writer
	Hold    bool
	Verbose bool
}

// Result is a promise with what was seen of it.
type Result struct {
	Guarantee string
	Passed    bool
	Details   string
}

// scene is one part of the demo.
type scene struct {
	promise string
	run     func(context.Context, *stage) (figures string, err error)
}

// stage is what a scene plays on.
type stage struct {
	fleet *fleet.Fleet
	buyer *client.Client // at a host of the first region
}

var errBroken = errors.New("a promise was broken")

// shape is the first deployment: 13 hosts, 18 model engines and 3 desks.
func shape(log logr.Logger) fleet.Spec {
	return fleet.Spec{
		Regions: []fleet.RegionSpec{
			{Name: "celje", Hosts: 5, Engines: 7, Desks: 1},
			{Name: "ravne", Hosts: 4, Engines: 6, Desks: 1},
			{Name: "koper", Hosts: 4, Engines: 5, Desks: 1},
		},
		OneWayMs: 55, Log: log,
		Engine: standin.EngineOptions{
			Model: fleet.ModelService, Slots: 8, StepMs: 2, TokensPerStep: 1,
			PrefillTokensPerStep: 2000, CacheBlocks: 4096, LoadLagMs: 500, ChecksFencing: true,
		},
	}
}

var scenes = []scene{
	{"a chat stream arrives whole", chatStream},
	{"a tender of thousands of tokens arrives whole", longTender},
	{"a booking resent at other hosts takes effect once", resentBooking},
	{"data stays in its residency, also when another region is idle", residencyHolds},
	{"racing operators: one patch wins, in force at all hosts", operatorRace},
	{"a patch whose reply is lost is accepted once", lostReply},
	{"short calls pass a straggler", passStraggler},
	{"a stream that breaks off is resumed without gap or repeat", resumedStream},
	{"a caller that hangs up frees its engine", hangUp},
	{"a leaving target gets no new work", leavingTarget},
	{"a region cut off serves its own callers", cutRegion},
	{"a planned stop cuts nothing off", plannedStop},
}

// Run plays all scenes and prints a row each. It fails if a promise was broken.
func Run(ctx context.Context, o Options) error {
	log := logr.Discard()
	if o.Verbose {
		base, err := zap.NewDevelopment()
		if err != nil {
			return errors.Wrap(err, "demo")
		}
		log = zapr.NewLogger(base)
	}
	f, err := fleet.Start(ctx, shape(log))
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.WaitMembers(ctx, len(f.Hosts), f.Hosts); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(o.Out, "%d hosts, %d engines and %d desks in %d regions are up.\n",
		len(f.Hosts), len(f.Engines), len(f.Desks), len(f.Spec.Regions))
	if o.Hold {
		hold(ctx, o.Out, f)
		return nil
	}
	rows := play(ctx, o.Log, f)
	return report(o.Out, rows)
}

func play(ctx context.Context, progress io.Writer, f *fleet.Fleet) []Result {
	s := &stage{fleet: f, buyer: client.New(fleet.CallerKey, []string{f.Hosts[0].Settings.CallerAddress})}
	rows := make([]Result, 0, len(scenes))
	for _, part := range scenes {
		began := time.Now()
		figures, err := part.run(ctx, s)
		if err != nil {
			figures = err.Error()
		}
		_, _ = fmt.Fprintf(progress, "%s: %s\n", part.promise, time.Since(began).Round(time.Millisecond))
		rows = append(rows, Result{Guarantee: part.promise, Passed: err == nil, Details: figures})
	}
	return rows
}

func report(w io.Writer, rows []Result) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(t, "PROMISE\tKEPT\tSEEN")
	broken := 0
	for _, r := range rows {
		verdict := "yes"
		if !r.Passed {
			verdict = "NO"
			broken++
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", r.Guarantee, verdict, r.Details)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if broken > 0 {
		return errors.Wrapf(errBroken, "%d of %d", broken, len(rows))
	}
	return nil
}

// hold keeps the fleet up until ctx ends.
func hold(ctx context.Context, w io.Writer, f *fleet.Fleet) {
	address := f.Hosts[0].Settings.CallerAddress
	other := f.Hosts[len(f.Hosts)-1].Settings.CallerAddress
	key := client.NewKey()
	_, _ = fmt.Fprintf(w, `Try, in another shell:

  curl http://%[1]s/v1/hosts
  curl -H 'Authorization: Bearer %[3]s' http://%[1]s/v1/models
  curl -N -H 'Authorization: Bearer %[3]s' http://%[1]s/v1/chat/completions \
    -d '{"model":"%[6]s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hello"}]}'
  curl -i -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: %[5]s' http://%[1]s/services/%[7]s/bookings -d '{"Lot":1}'
  curl -i -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: %[5]s' http://%[2]s/services/%[7]s/bookings -d '{"Lot":1}'
  sequoiarack hosts --address %[1]s --key %[4]s
  sequoiarack targets --address %[1]s --key %[4]s
  echo '{"Services":{"%[6]s":{"FirstTokenBudgetMs":1500}}}' | sequoiarack config patch --address %[1]s --key %[4]s --latest -
  sequoiarack config history --address %[1]s --key %[4]s
  sequoiarack dump --address %[1]s --key %[4]s
  sequoiarack drain --address %[2]s --key %[4]s
  curl http://%[8]s/fault -d '{"Slowdown":8}'    # make an engine a straggler

An interrupt ends it.
`, address, other, fleet.CallerKey, fleet.OperatorKey, key, fleet.ModelService, fleet.DeskService,
		f.Engines[fleet.ModelService+"-celje-1"].Address())
	<-ctx.Done()
}
