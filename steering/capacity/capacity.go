// Package capacity says what an entry VM bears, for the choice of those that do the
// work of control.
//
// A deployment's VMs differ by five in processor and by twenty in bandwidth. All
// others wait for the one that reads the entries of all targets and tells them. So
// the most able read first and fetch first for their zone.
package capacity

import "math"

const (
	// perCore is the requests per second that a whole core is taken to forward: an
	// estimate, not measured. Only the order of VMs rests on it.
	perCore = 3000
	// perMbps is the requests per second that 1 Mbit/s of a link is taken to carry, at
	// 4 kB a request with its answer: an estimate as well.
	perMbps = 30
)

// Of returns the requests per second that a VM forwards with a share of a core and a
// link in Mbit/s. What is 0 is unknown and does not count; without either it is 0.
func Of(cpuShare, linkMbps float64) float64 {
	bears := math.Inf(1)
	if cpuShare > 0 {
		bears = cpuShare * perCore
	}
	if linkMbps > 0 {
		bears = math.Min(bears, linkMbps*perMbps)
	}
	if math.IsInf(bears, 1) {
		return 0
	}
	return bears
}
