// Package member maintains this entry VM's view of the other entry VMs and distributes small
// facts among them by gossip: liveness, configuration versions, free slots of pools, and
// fingerprints of requests that are suspected of crashing targets.
//
// The view is built from four sources: the platform's list of VMs, which lags and is read by one
// member per zone; the seeds in the settings; heartbeats, which the members of a zone exchange
// with each other and a few members exchange between zones; and the outcome of this entry VM's
// own calls. Package steering/membership decides what they mean; this package makes the calls.
//
// A view is never complete or exact. Its users must stay correct when it is wrong; see
// docs/design/010-membership.md.
package member
