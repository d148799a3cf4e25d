// Package queueowner decides which entry VM sends requests to a target.
//
// It answers load on services whose requests or targets differ much: routes with different latency
// objectives share the targets, or targets are slow by turns. There the order in which requests reach
// a target, and how many wait there, decides who is served in time. An entry VM that sends a target
// one request in many does not know its queue: a report of load is older than a run lasts. In simulated
// overload of such a service urgent callers get half of their requests answered in time by one VM, and
// a sixth by twelve that each know only their own requests.
//
// So each target has one owner among the VMs that callers are directed to in the target's zone. The
// VM that takes a request from its caller passes it on to the owner, which sends it, lets it wait or
// refuses it. The owner knows what runs and waits at its targets, and keeps their connections open.
// The request crosses each link once, as without an owner, because the owner is in the target's zone.
//
// Owners need no agreement. Each VM computes them from the VMs that it sees as live. While views differ, two
// VMs send to the same target, and both go by the load that it reports. Without a live owner a VM sends
// requests itself.
package queueowner
