// Package benchcaps measures what a cap wastes: how many requests the ways of
// dividing its permits let through, against a counter in one place that knows
// every request at once.
//
// It is a simulation in steps of a millisecond with the product's own books
// (steering/caps) and Poisson arrivals, so equal seeds give equal figures on any
// machine. Messages take a millisecond each way and are not lost; entry VMs do
// not fail; seats do not change. What failures cost is not measured here.
package benchcaps
