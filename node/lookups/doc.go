// Package lookups answers which entry VMs a client should use, from memory
// alone. It joins the configuration in force with the view of the members into
// a plan (package steering/lookup), and serves the plan to the data path and
// over HTTP. A new plan replaces the old one in one step: look-ups never wait
// for it.
//
// Limits: a member's change of state enters answers after at most pollInterval,
// and callers keep an answer for its time to live besides.
package lookups
