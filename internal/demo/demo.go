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

// Options configure a demo.
type Options struct {
	Out     io.Writer // for the results
	Log     io.Writer // for the duration of each check
	Hold    bool      // keep the fleet running instead of checking it
	Verbose bool      // log the messages of the hosts
}

// Result is the result of the check of one guarantee.
type Result struct {
	Guarantee string
	Passed    bool
	Details   string
}

// check verifies one guarantee. run returns the details to print.
type check struct {
	guarantee string
	run       func(context.Context, *session) (details string, err error)
}

// session is the running fleet that the checks use.
type session struct {
	fleet  *fleet.Fleet
	caller *client.Client // starts at a host of the first region
}

var errFailed = errors.New("checks failed")

// deployment returns the specification of the fleet: 13 hosts, 18 model engines and
// 3 desks.
func deployment(log logr.Logger) fleet.Spec {
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

var checks = []check{
	{"a chat stream arrives whole", checkChatStream},
	{"a tender of thousands of tokens arrives whole", checkLongStream},
	{"a booking resent at other hosts takes effect once", checkResentBooking},
	{"data stays in its residency, also when another region is idle", checkResidency},
	{"racing operators: one patch wins, in force at all hosts", checkConcurrentPatches},
	{"a patch whose reply is lost is accepted once", checkLostReply},
	{"short calls pass a straggler", checkStraggler},
	{"a stream that breaks off is resumed without gap or repeat", checkResumedStream},
	{"a caller that hangs up frees its engine", checkCallerDisconnect},
	{"a leaving target gets no new work", checkLeavingTarget},
	{"a region cut off serves its own callers", checkPartition},
	{"a planned stop cuts nothing off", checkDrain},
}

// Run runs all checks and prints a row for each. It returns an error if one failed.
// With Options.Hold it runs none, and keeps the fleet running until ctx ends.
func Run(ctx context.Context, o Options) error {
	log := logr.Discard()
	if o.Verbose {
		base, err := zap.NewDevelopment()
		if err != nil {
			return errors.Wrap(err, "demo")
		}
		log = zapr.NewLogger(base)
	}
	f, err := fleet.Start(ctx, deployment(log))
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
	results := runChecks(ctx, o.Log, f)
	return report(o.Out, results)
}

// runChecks runs the checks one after another and writes their durations to progress.
func runChecks(ctx context.Context, progress io.Writer, f *fleet.Fleet) []Result {
	s := &session{fleet: f, caller: client.New(fleet.CallerKey, []string{f.Hosts[0].Settings.CallerAddress})}
	results := make([]Result, 0, len(checks))
	for _, check := range checks {
		started := time.Now()
		details, err := check.run(ctx, s)
		if err != nil {
			details = err.Error()
		}
		_, _ = fmt.Fprintf(progress, "%s: %s\n", check.guarantee, time.Since(started).Round(time.Millisecond))
		results = append(results, Result{Guarantee: check.guarantee, Passed: err == nil, Details: details})
	}
	return results
}

// report prints the results as a table. It returns an error if a check failed.
func report(w io.Writer, results []Result) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(t, "PROMISE\tKEPT\tSEEN")
	failed := 0
	for _, r := range results {
		passed := "yes"
		if !r.Passed {
			passed = "NO"
			failed++
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", r.Guarantee, passed, r.Details)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Wrapf(errFailed, "%d of %d", failed, len(results))
	}
	return nil
}

// hold prints commands to try and keeps the fleet running until ctx ends.
func hold(ctx context.Context, w io.Writer, f *fleet.Fleet) {
	address := f.Hosts[0].Settings.CallerAddress
	remote := f.Hosts[len(f.Hosts)-1].Settings.CallerAddress
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
  curl http://%[8]s/fault -d '{"Slowdown":8}'    # slow an engine down by the factor 8

Interrupt the demo to end it.
`, address, remote, fleet.CallerKey, fleet.OperatorKey, key, fleet.ModelService, fleet.DeskService,
		f.Engines[fleet.ModelService+"-celje-1"].Address())
	<-ctx.Done()
}
