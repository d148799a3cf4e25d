// Package placement chooses the target of each request, or refuses the request.
//
// A target that ran a key recently needs about a third of the time for the next request of that
// key: the key is warm there. If all requests ran cold, the demand of a busy day would exceed all
// slots; if all run warm, it takes a third of them. So each key has a fixed order of targets, which
// is the same on every entry VM (rendezvous hashing, so that a lost target moves only its own
// keys). A request goes to the first target of that order. While the queue there is too long, a
// small share of requests may run on the second target, where the key is cold at first. Choosing by
// current load instead keeps every target cold.
//
// The package handles these situations:
//
//   - Uneven regions: a region with fewer targets than its callers need offloads a share of its
//     keys to the regions with the most free capacity (see RegionSplit). The shares change in small
//     steps, because a key that changes region starts cold there, and because the operator limits
//     how fast traffic may change region.
//   - Overload: the wait at a target is predicted from the load that the target reports and from
//     the requests that this entry VM has sent since. A request that cannot be answered within its
//     latency objective is refused at once, while its caller still has time to act on the refusal.
//     A queue would delay every response beyond its objective.
//   - Failing targets: a target that has crashed, is unreachable or fails requests is ejected based
//     on what this entry VM itself observes, and probed with single requests. A refusal by a full
//     target is not a failure. When most targets of a service are ejected, the observations are
//     assumed to be wrong and all targets are used. A slow target keeps its keys as long as its
//     queue allows.
//   - Cold targets: a target that has just started gets few requests. Its cold rate is divided
//     between a few entry VMs of its region, chosen by rendezvous hashing, so that the total holds
//     without messages between them.
//
// Alternatives considered are a random target of the region, the least loaded of the first two or
// three targets of the order, and the least loaded of all targets. Each of them spreads the keys
// over more targets and so keeps the targets cold.
package placement
