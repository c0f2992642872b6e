// Package straggler finds targets that are much slower than their peers of the
// same service, from what the hosts see themselves. The package does no I/O.
package straggler

import (
	"slices"
	"time"
)

const (
	slowFactor     = 2.5 // times the median of the peers
	minSamples     = 2
	decay          = 0.4 // weight of a new sample
	firstEjection  = 4 * time.Second
	maxEjection    = 30 * time.Second
	extension      = time.Second // of an ejection, by a sample that is still slow
	recovered      = 3           // good samples in a row that end an ejection
	forgiveAfter   = 60 * time.Second
	sampleLifetime = 30 * time.Second
	minPeers       = 3
)

// Signal names what a sample measures.
type Signal int

// The signals.
const (
	FirstToken Signal = iota
	PerToken
	signals
)

// Monitor is what a Detector knows of one target.
type Monitor struct {
	value    [signals]float64 // seconds
	samples  [signals]int
	at       time.Time
	until    time.Time // of the ejection
	strikes  int
	good     int  // good samples in a row since the ejection
	probated bool // was ejected and has not shown since that it is fast again
}

// Detector watches the targets of one service. Its owner is one goroutine.
type Detector struct {
	tracks   map[string]*Monitor
	maxShare float64
	scratch  []float64
}

// NewDetector returns a Detector that ejects at most maxShare of the targets.
func NewDetector(maxShare float64) *Detector {
	return &Detector{tracks: map[string]*Monitor{}, maxShare: maxShare}
}

// SetMaxShare changes the largest share that is ejected.
func (d *Detector) SetMaxShare(share float64) { d.maxShare = share }

// Observe takes a sample of a target and ejects it when it is slower than its
// peers. It reports whether it did. A target that is ejected already, and still
// runs calls, is judged by them: slow samples prolong the ejection, good ones
// end it.
func (d *Detector) Observe(now time.Time, target string, signal Signal, sample time.Duration) bool {
	t := d.Monitor(target)
	t.add(now, signal, sample)
	median, ok := d.median(now, target, signal)
	if !ok {
		return false
	}
	slow := t.value[signal] >= slowFactor*median
	switch {
	case t.probated:
		return d.judgeAgain(now, t, sample.Seconds() >= slowFactor*median)
	case slow && t.samples[signal] >= minSamples:
		return d.eject(now, t)
	}
	return false
}

func (t *Monitor) add(now time.Time, signal Signal, sample time.Duration) {
	if now.Sub(t.at) > sampleLifetime {
		t.samples = [signals]int{}
	}
	if t.samples[signal] == 0 {
		t.value[signal] = sample.Seconds()
	} else {
		t.value[signal] += decay * (sample.Seconds() - t.value[signal])
	}
	t.samples[signal]++
	t.at = now
}

// judgeAgain judges a target that was ejected, by one more sample.
func (d *Detector) judgeAgain(now time.Time, t *Monitor, slow bool) bool {
	if slow {
		t.good = 0
		if now.Before(t.until) {
			t.until = later(t.until, now.Add(extension))
			return false
		}
		return d.eject(now, t)
	}
	t.good++
	if t.good >= recovered {
		t.probated, t.until = false, now
		t.samples = [signals]int{}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// median returns the median of the peers, without the target itself.
func (d *Detector) median(now time.Time, target string, signal Signal) (float64, bool) {
	d.scratch = d.scratch[:0]
	for name, t := range d.tracks {
		if name != target && !t.probated && t.samples[signal] >= minSamples && now.Sub(t.at) <= sampleLifetime {
			d.scratch = append(d.scratch, t.value[signal])
		}
	}
	if len(d.scratch) < minPeers-1 {
		return 0, false
	}
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2], true
}

func (d *Detector) eject(now time.Time, t *Monitor) bool {
	ejected := 0
	for _, other := range d.tracks {
		if now.Before(other.until) {
			ejected++
		}
	}
	if float64(ejected+1) > d.maxShare*float64(len(d.tracks)) {
		return false
	}
	if now.Sub(t.until) > forgiveAfter {
		t.strikes = 0
	}
	t.until = now.Add(min(firstEjection<<min(t.strikes, 4), maxEjection))
	t.strikes++
	t.good, t.probated = 0, true
	return true
}

// Monitor returns the track of a target, which it begins if there is none.
func (d *Detector) Monitor(target string) *Monitor {
	t := d.tracks[target]
	if t == nil {
		t = &Monitor{}
		d.tracks[target] = t
	}
	return t
}

// Ejected reports whether the target is to be left alone now.
func (t *Monitor) Ejected(now time.Time) bool { return now.Before(t.until) }

// OnProbation reports whether the target was ejected and has not yet shown that it
// is fast again, so that it should get one call at a time.
func (t *Monitor) OnProbation() bool { return t.probated }

// Forget drops a target that has left the service.
func (d *Detector) Forget(target string) { delete(d.tracks, target) }
