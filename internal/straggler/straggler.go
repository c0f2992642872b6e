// Package straggler detects targets that are much slower than the other targets of
// their service, from latencies measured by the hosts, and ejects them for a while.
// The package does no I/O.
package straggler

import (
	"slices"
	"time"
)

const (
	slowFactor           = 2.5             // multiple of the peers' median latency from which a target is slow
	minSamples           = 2               // of a target, before it may be ejected or counted as a peer
	newSampleWeight      = 0.4             // in the moving average
	firstEjection        = 4 * time.Second // doubled with each further ejection
	maxEjection          = 30 * time.Second
	ejectionExtension    = time.Second      // of an ejection, after each further slow sample
	fastSamplesToRecover = 3                // consecutive, after which probation ends
	backoffResetAfter    = 60 * time.Second // since the end of an ejection, to restart at firstEjection
	sampleLifetime       = 30 * time.Second
	minPeers             = 3 // with enough samples, including the target itself
)

// Signal is the latency that a sample measures.
type Signal int

// Signals of a target.
const (
	// FirstToken is the time from the start of an attempt to its first token.
	FirstToken Signal = iota
	// PerToken is the time per token of a stream.
	PerToken
	signalCount
)

// Monitor holds the latencies and the ejection state of one target.
type Monitor struct {
	averages     [signalCount]float64 // moving averages in seconds
	samples      [signalCount]int
	lastSampleAt time.Time
	ejectedUntil time.Time
	ejections    int  // consecutive, see backoffResetAfter
	fastStreak   int  // consecutive fast samples since the ejection
	onProbation  bool // was ejected and has not recovered yet
}

// Detector monitors the targets of one service. It is not safe for concurrent use.
type Detector struct {
	monitors map[string]*Monitor
	maxShare float64
	scratch  []float64
}

// NewDetector returns a Detector that ejects at most maxShare of the targets.
func NewDetector(maxShare float64) *Detector {
	return &Detector{monitors: map[string]*Monitor{}, maxShare: maxShare}
}

// SetMaxShare sets the largest share of the targets that may be ejected at once.
func (d *Detector) SetMaxShare(share float64) { d.maxShare = share }

// Observe records a sample of a target and reports whether the target was ejected
// because of it. An ejected target may still run calls: slow samples extend its
// ejection, and fastSamplesToRecover consecutive fast ones end it.
func (d *Detector) Observe(now time.Time, target string, signal Signal, sample time.Duration) bool {
	m := d.Monitor(target)
	m.addSample(now, signal, sample)
	median, ok := d.peerMedian(now, target, signal)
	if !ok {
		return false
	}
	slow := m.averages[signal] >= slowFactor*median
	switch {
	case m.onProbation:
		return d.observeOnProbation(now, m, sample.Seconds() >= slowFactor*median)
	case slow && m.samples[signal] >= minSamples:
		return d.eject(now, m)
	}
	return false
}

func (m *Monitor) addSample(now time.Time, signal Signal, sample time.Duration) {
	if now.Sub(m.lastSampleAt) > sampleLifetime {
		m.samples = [signalCount]int{}
	}
	if m.samples[signal] == 0 {
		m.averages[signal] = sample.Seconds()
	} else {
		m.averages[signal] += newSampleWeight * (sample.Seconds() - m.averages[signal])
	}
	m.samples[signal]++
	m.lastSampleAt = now
}

// observeOnProbation handles a sample of a target on probation. It reports whether the
// target was ejected again.
func (d *Detector) observeOnProbation(now time.Time, m *Monitor, slow bool) bool {
	if slow {
		m.fastStreak = 0
		if now.Before(m.ejectedUntil) {
			m.ejectedUntil = later(m.ejectedUntil, now.Add(ejectionExtension))
			return false
		}
		return d.eject(now, m)
	}
	m.fastStreak++
	if m.fastStreak >= fastSamplesToRecover {
		m.onProbation, m.ejectedUntil = false, now
		m.samples = [signalCount]int{}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// peerMedian returns the median latency of the other targets in seconds. It returns
// false if fewer than minPeers-1 of them have recent samples.
func (d *Detector) peerMedian(now time.Time, target string, signal Signal) (float64, bool) {
	d.scratch = d.scratch[:0]
	for name, m := range d.monitors {
		if name != target && !m.onProbation && m.samples[signal] >= minSamples && now.Sub(m.lastSampleAt) <= sampleLifetime {
			d.scratch = append(d.scratch, m.averages[signal])
		}
	}
	if len(d.scratch) < minPeers-1 {
		return 0, false
	}
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2], true
}

// eject ejects the target unless that would exceed the maximum share.
func (d *Detector) eject(now time.Time, m *Monitor) bool {
	ejected := 0
	for _, other := range d.monitors {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > d.maxShare*float64(len(d.monitors)) {
		return false
	}
	if now.Sub(m.ejectedUntil) > backoffResetAfter {
		m.ejections = 0
	}
	m.ejectedUntil = now.Add(min(firstEjection<<min(m.ejections, 4), maxEjection))
	m.ejections++
	m.fastStreak, m.onProbation = 0, true
	return true
}

// Monitor returns the Monitor of a target and creates it if there is none.
func (d *Detector) Monitor(target string) *Monitor {
	m := d.monitors[target]
	if m == nil {
		m = &Monitor{}
		d.monitors[target] = m
	}
	return m
}

// Ejected reports whether the target is ejected now, so that no calls are placed on it.
func (m *Monitor) Ejected(now time.Time) bool { return now.Before(m.ejectedUntil) }

// OnProbation reports whether the target was ejected and has not recovered yet, so
// that calls should be placed on it one at a time.
func (m *Monitor) OnProbation() bool { return m.onProbation }

// Forget removes a target that no longer belongs to the service.
func (d *Detector) Forget(target string) { delete(d.monitors, target) }
