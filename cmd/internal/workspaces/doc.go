// Package workspaces implements the subcommand that prints the outcomes of the requests of
// workspaces across a fleet: the sums of the counters of all entry VMs, and the rate, demand
// and utilization that the VM that owns a workspace's allowance reports.
package workspaces
