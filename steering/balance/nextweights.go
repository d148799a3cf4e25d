package balance

import (
	"math"
	"time"

	"heatherlock/steering"
)

const (
	// MinWeight is the lowest weight. A target with fewer keys would get too few requests to be judged.
	MinWeight = 1.0 / 8
	// maxMoved is the part of the weight of all targets that may change in a second. Each moved key
	// runs cold once.
	maxMoved = 0.05
	// overload is the load above which requests wait at a target.
	overload = 1.0
	// room is the load below which a target can take more keys.
	room = 0.6
	// overMean is how far above the mean load a target must be to lose weight. Where the mean is high,
	// smaller differences are those between seconds.
	overMean = 1.25
	// underMean is how far below the mean load a target must be to regain weight, so that nothing moves
	// where all targets are equally loaded but for rounding.
	underMean = 0.9
	// fallRate is the part of the excess load that a target loses in a second. With 0.5, chance moved twice
	// as many keys, and with 0.1 fewer requests were in time (simulation of package placement).
	fallRate = 0.25
	// riseRate is the weight that a target regains in a second: an eighth in ten seconds. It is a
	// fraction of fallRate, so that a target that is overloaded at one weight spends most time below it.
	riseRate = 0.0125
	// riseMargin is the load, relative to overload, that a target must stay below with an eighth more
	// weight to regain any.
	riseMargin = 0.8
	// minResponses is the number of responses below which the load of a target is not judged.
	minResponses = 3
	// maxElapsed bounds the time for which weights move at once, so that a balancer that was paused
	// does not make up for the time.
	maxElapsed = 2 * time.Second
)

// Load is the load of a target.
type Load struct {
	// Mean is the mean of the running and waiting requests in the last seconds, divided by the
	// target's slots.
	Mean float64
	// Responses is how many responses of the last seconds reported the load. With few, the target keeps
	// its weight.
	Responses float64
	Slots     int
	// Fixed is set for targets that keep their weight: closed, cold or ejected ones.
	Fixed bool
	// Held is set for targets whose weight must not rise yet.
	Held bool
}

func (l Load) judged() bool { return !l.Fixed && l.Slots > 0 && l.Responses >= minResponses }

// NextWeights returns the weights of the targets of one service in one region after elapsed time. It
// returns a weight for each target in loads; those without a current weight have the weight 1.
//
// A target whose load is above its slots and above the mean loses weight in proportion to the excess,
// and one with room regains weight slowly. At most maxMoved of the weight of all targets changes in a
// second.
func NextWeights(current map[steering.Target]float64, loads map[steering.Target]Load, elapsed time.Duration) map[steering.Target]float64 {
	seconds := min(max(elapsed, 0), maxElapsed).Seconds()
	mean := meanLoad(loads)
	next := make(map[steering.Target]float64, len(loads))
	changes := make(map[steering.Target]float64)
	total, moved := 0.0, 0.0
	for name, load := range loads {
		weight := weightOf(current, name)
		next[name] = weight
		total += weight * float64(load.Slots)
		if !load.judged() {
			continue
		}
		if change := changeOf(weight, load, mean, seconds); change != 0 {
			changes[name] = change
			moved += math.Abs(change) * float64(load.Slots)
		}
	}
	scale := 1.0
	if bound := maxMoved * seconds * total; moved > bound {
		scale = bound / moved
	}
	for name, change := range changes {
		next[name] = clampWeight(next[name] + scale*change)
	}
	return next
}

// changeOf returns by how much the weight of a target is to change.
func changeOf(weight float64, load Load, mean, seconds float64) float64 {
	highest := math.Max(overload, overMean*mean)
	if load.Mean > highest {
		excess := 1 - highest/load.Mean
		return clampWeight(weight*(1-fallRate*seconds*excess)) - weight
	}
	withMore := load.Mean * (weight + MinWeight) / weight
	atMean := math.Max(1, mean) // where all targets wait, room is relative to the mean as well
	if load.Held || load.Mean >= room*atMean || load.Mean >= underMean*mean || withMore >= riseMargin*overload*atMean {
		return 0
	}
	return clampWeight(weight+riseRate*seconds) - weight
}

// meanLoad returns the mean load of the judged targets, by slots.
func meanLoad(loads map[steering.Target]Load) float64 {
	load, slots := 0.0, 0.0
	for _, l := range loads {
		if l.judged() {
			load += l.Mean * float64(l.Slots)
			slots += float64(l.Slots)
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}

func weightOf(weights map[steering.Target]float64, name steering.Target) float64 {
	if weight, found := weights[name]; found {
		return clampWeight(weight)
	}
	return 1
}

func clampWeight(weight float64) float64 { return math.Min(math.Max(weight, MinWeight), 1) }
