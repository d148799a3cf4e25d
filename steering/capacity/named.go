package capacity

// Callers choose evenly among the VMs that a look-up names, so each of those named has to
// bear an equal part of the demand.
const (
	// headroom is how many times its part of the demand a named VM bears: capacities are
	// estimates, and bursts, losses of other VMs and control come on top.
	headroom = 8
	// assumedUse is the part of what all VMs bear that callers are taken to ask while their
	// demand is not known.
	assumedUse = 0.05
)

// Named returns how many of the most able VMs are to be named to callers, at least fewest
// if there are as many. capacities are in descending order; demand is in requests per
// second, 0 if it is not known. Without a number of VMs that bear the demand all are named.
//
// Load this answers: in a zone with a few able VMs and many small ones each VM meets each
// target seldom, opens a connection for nearly every request, and knows of targets only
// what it saw long ago. The fewer VMs callers use, the fresher is what these know.
//
// Trade-off: more callers lose their connections when one VM ends. The others are named
// within a heartbeat.
func Named(capacities []float64, demand float64, fewest int) int {
	if demand <= 0 {
		for _, c := range capacities {
			demand += assumedUse * c
		}
	}
	for k := min(fewest, len(capacities)); k <= len(capacities) && k > 0; k++ {
		if capacities[k-1] >= headroom*demand/float64(k) && capacities[k-1] > 0 {
			return k
		}
	}
	return len(capacities)
}
