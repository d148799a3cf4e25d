// Package capacity estimates how many requests per second an entry VM can forward. The estimate
// decides which VMs do control work and, with DirectorySize, which VMs callers get from a directory
// lookup.
//
// The VMs of one deployment differ by a factor of 5 in CPU and of 20 in bandwidth. One VM reads the
// entries of all targets, and all others wait until it has sent them. The VMs with the highest
// capacity therefore read first, and fetch first for their zone.
package capacity

import "math"

const (
	// requestsPerCore is an estimate of the requests per second that one CPU core forwards. A rough
	// value is enough, because it serves to order VMs, and headroomFactor covers its error in
	// DirectorySize.
	requestsPerCore = 3000
	// requestsPerMbps is an estimate of the requests per second that 1 Mbit/s of a link carries, at
	// 4 kB per request with its answer.
	requestsPerMbps = 30
)

// Of returns how many requests per second a VM can forward with a share of a CPU core and a link
// bandwidth in Mbit/s. A value of 0 is unknown and sets no limit; if both are 0, Of returns 0.
func Of(cpuShare, linkMbps float64) float64 {
	rate := math.Inf(1)
	if cpuShare > 0 {
		rate = cpuShare * requestsPerCore
	}
	if linkMbps > 0 {
		rate = math.Min(rate, linkMbps*requestsPerMbps)
	}
	if math.IsInf(rate, 1) {
		return 0
	}
	return rate
}
