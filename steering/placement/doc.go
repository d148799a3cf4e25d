// Package placement chooses the target of a request, or refuses it.
//
// A target that handled a key recently takes about a third of the time for it.
// Cold, the demand of a busy day exceeds all slots; warm, it is a third of
// them. So a key has a fixed order of targets, the same on every entry VM
// (rendezvous hashing: a lost target moves only its own keys), and a request
// goes to the first of that order unless waiting there costs more than running
// on the second, whose copy of the key is cold at first. Spreading by momentary
// load instead keeps every target cold.
//
// Answers to the loads it is made for:
//
//   - Uneven regions: a region with fewer targets than its callers need lends a
//     share of its keys to those with most room (see Lending). Shares move in
//     small steps, because a key that changes region starts cold there, and
//     because the operator bounds how fast traffic may change region.
//   - More load than fits: the wait at the target is predicted from what it
//     reports and from what this entry VM has sent since. A request that cannot
//     be answered within its aim is refused at once, while its caller can still
//     use the time; a queue of late answers would serve nobody in time.
//   - A target that is dead, dark or failing is passed over on first-hand
//     evidence (one that refuses because it is full is not failing) and tried
//     again with single requests. When most targets of a service look bad, the
//     evidence is doubted and all are used. A slow one keeps its keys as long as
//     its queue allows.
//   - A cold target gets few requests: its own rate, divided between a few
//     entry VMs of its region by rendezvous, so that the sum holds without a
//     message between them.
//
// Weighed against it: random choice in the region, least loaded of the first two
// or three of the order, and least loaded of all; each cools the targets.
package placement
