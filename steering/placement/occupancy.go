package placement

import (
	"math"
	"time"

	"heatherlock/steering"
)

// Keys of a service whose targets share machines are divided between regions by how long requests occupy
// slots, not by how long they run with a warm key: slow machines and long runs occupy slots as well. With the
// warm time alone a region with few targets keeps more keys than its slots can serve, while other regions
// have room.

const (
	// maxOccupancyFactor bounds the ratio of the two times. A service whose runs are mostly cold takes 3 to
	// 4 times as long as with warm keys; its keys get warm once they stay where they are.
	maxOccupancyFactor = 2
	// occupancyWeight is the weight of a sample in the average: about the last 200 count, so that a few
	// very long runs do not move keys between regions.
	occupancyWeight = 0.01
)

// observeOccupancy adds how long an attempt occupied a slot of its target. Attempts that waited for a
// slot do not count, since they would make the demand grow with every queue.
func (v *serviceState) observeOccupancy(r Report) {
	switch r.Outcome {
	case Served, Failed, Silent, Abandoned:
	default:
		return
	}
	took := r.Latency.Seconds()
	if took <= 0 {
		return
	}
	v.occupancySamples++
	v.occupied += math.Max(occupancyWeight, 1/float64(v.occupancySamples)) * (took - v.occupied)
}

// OccupancyFactors returns for each service whose targets share their machines how long a request occupies a
// slot, as a multiple of the service time for warm keys. It is at least 1.
func (b *Balancer) OccupancyFactors(now time.Time) map[steering.Service]float64 {
	factors := make(map[steering.Service]float64)
	for name, v := range b.services {
		if v.sharesMachines(now) && v.occupancySamples >= minSamples && v.warmTime > 0 {
			factors[name] = math.Min(math.Max(v.occupied/v.warmTime, 1), maxOccupancyFactor)
		}
	}
	return factors
}
