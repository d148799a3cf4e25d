// Package deploy holds the two deployments that heatherlock is built for, at
// today's sizes, as data: zones, entry VMs, services, targets with their slots,
// one-way delays and client blocks. From it come the operators' objects and
// the target stand-ins of a run on loopback.
//
// Limits: service times are assumptions for the stand-ins, not figures of the
// deployments; delays are data and are not imposed on loopback connections.
package deploy
