// Package benchplacement simulates high load on the placement of requests. It runs the product's
// own decision code, with one balancer for each entry VM, on simulated targets that keep a limited
// number of keys warm (a run is faster if its key is warm), and compares it with simpler placement
// policies. It shows which policy answers callers in time when demand exceeds capacity, when one
// region has fewer targets than the others, and when targets stop responding.
//
// Run simulates all scenarios and returns a Report. Equal options give equal reports.
package benchplacement
