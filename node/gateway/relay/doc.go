// Package relay takes a caller's request to a target and back.
//
// It joins the decisions of steering (route, placement, further tries) with the
// connections of package upstream. Three rules carry the promises:
//
//   - a request that must run at most once is sent again only after a proof that
//     it has not run: the target said so, another target holds the address, or
//     no byte left;
//   - a status that promises "not run" is sent only while nothing was sent, or
//     after such a proof for everything that was;
//   - each request gets its final answer once it is given up, never later than
//     its route allows, and one that is known to fail is refused at once.
package relay
