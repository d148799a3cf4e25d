// Package benchcaps measures the capacity that a cap on requests per window wastes
// when its permits are divided among entry VMs: how many requests each scheme admits,
// compared with a central counter that sees every request without delay. A seat is
// the share of the permits that an entry VM holds; a loan lets another entry VM use
// some of them for a time.
//
// It is a simulation in steps of a millisecond with the permit accounting of the
// product (steering/caps) and Poisson arrivals, so equal seeds give equal results on
// any machine. Messages take a millisecond each way and are not lost; entry VMs do
// not fail; seats change only in the schemes that divide them by demand. The cost of
// failures is not measured.
package benchcaps
