// Package lookups answers which entry VMs a client should use, from memory
// alone. It combines the configuration in force with the membership into a plan
// (package steering/lookup), and serves the plan to the data path and over HTTP.
// A new plan replaces the old one atomically, so look-ups never wait for it.
//
// Limits: a change of a member's state is in the answers after at most
// pollInterval. Callers may use an older answer until its time to live ends.
package lookups
