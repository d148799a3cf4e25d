// Package deploy defines the two deployments that heatherlock is built for, at
// their current sizes: zones, entry VMs, services, targets with their slots,
// one-way delays and client blocks. From a deployment it builds the operators' objects
// and starts the fake targets of a run on loopback.
//
// Service times are assumptions for the fake targets, not figures of the real
// deployments. Delays are only data and are not applied to loopback connections.
package deploy
