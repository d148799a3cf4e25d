// Package relay forwards a caller's request to a target and returns the target's response.
//
// It combines the decisions of the steering packages (route, placement, retries) with the
// connections of package upstream. It guarantees the following:
//
//   - A request that must run at most once is sent again only after proof that it has not run: the
//     target said so, another target has the address, or no byte was sent.
//   - A status that promises "not run" is returned only if nothing was sent, or if there is such
//     proof for every attempt that was sent.
//   - Each request gets its final response when its time is up, never later than its route allows.
//     A request that is known to fail is refused at once.
package relay
