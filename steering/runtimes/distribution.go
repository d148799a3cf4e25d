package runtimes

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// accuracy is the relative error of a quantile, and maxBins bounds the memory of a sketch: with this
	// accuracy, 256 bins span times from 1 to 28,000, and shorter ones share the lowest bin.
	accuracy = 0.02
	maxBins  = 256
	// ageing is the time in which samples lose two thirds of their weight. Targets and demand change
	// within tens of seconds.
	ageing = 20 * time.Second
	// ageStep is the interval at which samples lose weight, so that not each sample costs a pass over the
	// bins.
	ageStep = time.Second
	// restWeight is the weight that the last samples keep until new ones arrive: an old distribution
	// predicts better than none.
	restWeight = 10
	// tableInterval is how often the quantiles are computed anew, and tableWeight the weight below which
	// they are computed at each use, since a single sample moves them then.
	tableInterval = 250 * time.Millisecond
	tableWeight   = 32
)

// The percentiles that are computed from a sketch, with the deviates of the standard normal
// distribution at them.
var (
	percentiles = [...]float64{0.05, 0.1, 0.25, 0.5, 0.6, 0.7, 0.75, 0.8, 0.85, 0.875, 0.9, 0.925, 0.95, 0.97, 0.99}
	deviates    = [...]float64{-1.645, -1.282, -0.674, 0, 0.253, 0.524, 0.674, 0.842, 1.036, 1.150, 1.282, 1.440, 1.645, 1.881, 2.326}
)

const (
	atMedian = 3
	atP85    = 8
	atP90    = 10
	atP95    = 12
)

// table holds the times, in seconds, at percentiles.
type table [len(percentiles)]float64

// tableOf returns the table of the log-normal distribution with a median and a 90th percentile. Run
// times have a long tail, and other VMs report no more than these two.
func tableOf(median, p90 float64) (t table) {
	sigma := math.Log(p90/median) / deviates[atP90]
	for i, z := range deviates {
		t[i] = median * math.Exp(sigma*z)
	}
	return t
}

// scaled returns the table with each time multiplied by what factor returns for it.
func (t table) scaled(factor func(seconds float64) float64) table {
	for i, seconds := range t {
		t[i] = seconds * factor(seconds)
	}
	return t
}

// exceeding returns the share of runs that take longer than a time.
func (t *table) exceeding(seconds float64) float64 {
	if seconds < t[0] {
		return 1 - percentiles[0]*math.Max(0, seconds)/t[0]
	}
	for i := 1; i < len(t); i++ {
		if seconds < t[i] {
			part := (seconds - t[i-1]) / (t[i] - t[i-1])
			return 1 - percentiles[i-1] - part*(percentiles[i]-percentiles[i-1])
		}
	}
	// Beyond the last percentile the share falls with the square of the time, as in a tail of single
	// very slow runs.
	last := len(t) - 1
	return (1 - percentiles[last]) * (t[last] / seconds) * (t[last] / seconds)
}

// distribution holds the times of the runs of a class that were warm, or of those that were cold.
type distribution struct {
	sketch *ddsketch.DDSketch // nil without samples
	sum    float64
	agedAt time.Time

	quantiles  table
	computedAt time.Time
	changed    bool

	peers peerTimes
}

func (d *distribution) weight() float64 {
	if d.sketch == nil {
		return 0
	}
	return d.sketch.GetCount()
}

// add adds the time of a run, in seconds.
func (d *distribution) add(now time.Time, seconds float64) {
	if d.sketch == nil {
		sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(accuracy, maxBins)
		if err != nil {
			return // not with a constant accuracy between 0 and 1
		}
		d.sketch, d.agedAt = sketch, now
	}
	d.age(now)
	if d.sketch.Add(seconds) != nil {
		return // out of the sketch's range, which is far wider than maxRun
	}
	d.sum += seconds
	d.changed = true
}

// age lowers the weight of the samples by their age.
func (d *distribution) age(now time.Time) {
	elapsed := now.Sub(d.agedAt)
	if elapsed < ageStep {
		return
	}
	d.agedAt = now
	weight := d.weight()
	factor := math.Max(math.Exp(-float64(elapsed)/float64(ageing)), restWeight/math.Max(weight, restWeight))
	if factor >= 1 || d.sketch.Reweight(factor) != nil {
		return
	}
	d.sum *= factor
}

// own returns the quantiles of this VM's samples.
func (d *distribution) own(now time.Time) *table {
	if d.changed && (d.weight() < tableWeight || now.Sub(d.computedAt) >= tableInterval) {
		if values, err := d.sketch.GetValuesAtQuantiles(percentiles[:]); err == nil {
			copy(d.quantiles[:], values)
		}
		d.computedAt, d.changed = now, false
	}
	return &d.quantiles
}

const (
	// enoughSamples is the weight from which on a VM uses its own samples rather than what others report,
	// and fewestSamples that below which it uses no samples of its own.
	enoughSamples = 20
	fewestSamples = 8
)

// table returns the quantiles, from the VM's own samples or else from those of others.
func (d *distribution) table(now time.Time) (t table, known bool) {
	weight := d.weight()
	if weight < enoughSamples {
		if median, p90, ok := d.peers.times(now); ok {
			return tableOf(median, p90), true
		}
	}
	if weight < fewestSamples {
		return table{}, false
	}
	return *d.own(now), true
}

// mean returns the mean time in seconds, and the weight that it is based on.
func (d *distribution) mean(now time.Time) (seconds, weight float64) {
	if weight = d.weight(); weight >= fewestSamples {
		return d.sum / weight, weight
	}
	if median, p90, ok := d.peers.times(now); ok {
		sigma := math.Log(p90/median) / deviates[atP90]
		return median * math.Exp(sigma*sigma/2), d.peers.weight
	}
	return 0, 0
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
