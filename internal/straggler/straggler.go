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

type track struct {
	value   [signals]float64 // seconds
	samples [signals]int
	at      time.Time
	until   time.Time
	strikes int
}

// Detector watches the targets of one service. Its owner is one goroutine.
type Detector struct {
	tracks   map[string]*track
	maxShare float64
	scratch  []float64
}

// NewDetector returns a Detector that ejects at most maxShare of the targets.
func NewDetector(maxShare float64) *Detector {
	return &Detector{tracks: map[string]*track{}, maxShare: maxShare}
}

// SetMaxShare changes the largest share that is ejected.
func (d *Detector) SetMaxShare(share float64) { d.maxShare = share }

// Observe takes a sample of a target and ejects it when it is slower than its
// peers. It reports whether it did.
func (d *Detector) Observe(now time.Time, target string, signal Signal, sample time.Duration) bool {
	t := d.tracks[target]
	if t == nil {
		t = &track{}
		d.tracks[target] = t
	}
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
	if t.samples[signal] < minSamples || now.Before(t.until) {
		return false
	}
	median, ok := d.median(now, target, signal)
	if !ok || t.value[signal] < slowFactor*median {
		return false
	}
	return d.eject(now, t)
}

// median returns the median of the peers, without the target itself.
func (d *Detector) median(now time.Time, target string, signal Signal) (float64, bool) {
	d.scratch = d.scratch[:0]
	for name, t := range d.tracks {
		if name != target && t.samples[signal] >= minSamples && now.Sub(t.at) <= sampleLifetime {
			d.scratch = append(d.scratch, t.value[signal])
		}
	}
	if len(d.scratch) < minPeers-1 {
		return 0, false
	}
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2], true
}

func (d *Detector) eject(now time.Time, t *track) bool {
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
	t.samples = [signals]int{}
	return true
}

// Ejected reports whether the target is to be left alone now.
func (d *Detector) Ejected(now time.Time, target string) bool {
	t := d.tracks[target]
	return t != nil && now.Before(t.until)
}

// Forget drops a target that has left the service.
func (d *Detector) Forget(target string) { delete(d.tracks, target) }
