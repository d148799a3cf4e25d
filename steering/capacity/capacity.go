// Package capacity says what an entry VM bears, for the choice of those that do the
// work of control.
//
// A deployment's VMs differ by five in processor and by twenty in bandwidth. Reading
// the entries of all targets and telling them to others takes the smallest VMs half
// of the time in which a leaving target must be known everywhere. So the most able
// read first and fetch first for their zone.
package capacity

import "math"

const (
	// perCore is the requests per second that a whole core forwards, from played
	// days: 0.33 ms of processor time a request.
	perCore = 3000
	// perMbps is the requests per second that 1 Mbit/s of a link carries each way, at
	// 4 kB a request with its answer.
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
