// Package fairshare divides the capacity of a service between workspaces while the service is short
// of it. It answers a load in which one workspace sends several times its usual rate, still within
// its allowance, to a service that is full: without a division the requests of all workspaces compete
// for the same slots, and most of those that are served belong to the one that floods.
//
// [Divide] is the division: max-min fairness in which nobody gets less than an equal part, if it asks
// for that much, and what is left is divided by weight, the rate of a workspace's allowance.
//
// A [Divider] applies it on one entry VM. For each service and rank it knows the arrival rate of each
// workspace, the rate of responses and when a request was last refused or shed for lack of capacity.
// While that was in the last second, [Divider.Admit] lets a workspace pass the part of its own
// requests that its share allows. Otherwise it admits everything.
//
//   - The room to divide is the rate of responses. If no request is refused for lack of capacity for
//     half a second, the room grows until the second is over, so that a capacity that grows is noticed.
//   - The ranks of a service are divided separately. The room of a rank counts the responses to its own
//     and to all less urgent requests, so that a more urgent request is not held back for a less urgent
//     one. A refused request of one rank does not make another rank short.
//   - A workspace's share is applied as a ratio of admitted to arriving requests. It is therefore valid
//     for a part of the callers: a VM that hears some of its peers, or none, divides what it sees. A
//     demand that exceeds its share by no more than chance explains is admitted.
//
// Entry VMs exchange their rates ([Divider.Report], [Divider.Merge]). Reports expire after seconds.
// Nothing lasts: a VM that starts admits everything until it has observed the load for two seconds.
//
// Trade-off: a VM that hears nobody equalizes its own callers only. A workspace whose callers all use
// one VM then gets that VM's equal part, which may be less or more than its part of the fleet's.
package fairshare
