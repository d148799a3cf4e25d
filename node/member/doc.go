// Package member keeps this entry VM's view of the others and spreads small
// facts among them: liveness, configuration versions, headroom of pools and
// fingerprints of requests that killed targets.
//
// What is known comes from four sources: the platform's list of VMs, which
// lags and is read by one member per zone; seeds of the settings; beats, which
// members of a zone exchange with each other and a few members exchange
// between zones; and first-hand evidence of calls. What they mean is decided
// in steering/membership; this package does the calls.
//
// Limits: a view is never complete nor exact. Whoever uses it must stay right
// when it is wrong; see docs/design/010-membership.md.
package member
