package capacity

// Callers spread their requests evenly over the VMs that a lookup returns, so each of these VMs has
// to serve an equal share of the demand.
const (
	// headroomFactor is how many times its share of the demand a returned VM must be able to serve,
	// because capacities are estimates, and bursts, losses of other VMs and control work come on
	// top.
	headroomFactor = 8
	// assumedUtilization is the fraction of the total capacity of all VMs that is taken as the
	// demand while the demand is unknown.
	assumedUtilization = 0.05
)

// DirectorySize returns how many of the VMs, taken in descending order of capacity, a lookup should
// return to callers. It is at least minimum if there are that many VMs. capacities must be in
// descending order; demand is in requests per second, 0 if it is unknown. If no number of VMs can
// serve the demand with headroom, DirectorySize returns the number of all VMs.
//
// Without this limit, in a zone with a few large VMs and many small ones, each VM sends requests to
// each target rarely. It then opens a connection for nearly every request, and its information
// about the targets is old. The fewer VMs callers use, the more recent is the information that
// these VMs have.
//
// The drawback is that more callers lose their connections when one VM stops. Lookups return the
// other VMs within one heartbeat.
func DirectorySize(capacities []float64, demand float64, minimum int) int {
	if demand <= 0 {
		for _, c := range capacities {
			demand += assumedUtilization * c
		}
	}
	for k := min(minimum, len(capacities)); k <= len(capacities) && k > 0; k++ {
		if capacities[k-1] >= headroomFactor*demand/float64(k) && capacities[k-1] > 0 {
			return k
		}
	}
	return len(capacities)
}
