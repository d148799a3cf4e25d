// Package spread says how a configuration gets from the entry VM that has read it
// to all others: in small parts, each of them told only where it differs.
//
// Told as one answer, a table grows until it no longer passes a narrow link within any
// fixed time; every VM that asks gets the whole of it for the change of one weight, and
// what came of an answer that broke off is lost.
//
// Routes are spread over buckets by a hash of host and prefix, workspaces by one of their
// name; both are items, and told alike. An Outline holds a hash
// of each bucket: 8 bytes for about 64 routes. A VM that is behind asks a peer for the
// Outline, and then, for the buckets that differ, tells the hashes of the routes it has;
// the answer (a Piece) names those that stay and brings the others. A Draft collects
// pieces. A route is known by the hash of its content, so that it counts whoever sent
// it and for whichever version: a peer that ends, a time that runs out and a newer
// version that comes in between cost nothing of what is there already.
//
// Room bounds what a VM promises to send. Who asks for more is told at once when to
// come back, and meanwhile asks another that has it; so the copies double from VM to VM
// instead of leaving one link one after the other. Choose says whom to ask. A question that
// is long by its hashes goes only to a VM that keeps a place for the asker. Recent tells a configuration a
// little longer than it is in force, to those who have begun to ask for it.
//
// Ways weighed. A log of changes by version is smaller by some hundred bytes for one
// route, but serves only those who ask for a version that the log still holds, and its
// parts do not fit together across peers. A whole table without a time limit ends, but
// grows with the configuration and with the number of those who ask. Passing on parts
// before a VM has them all gains nothing where the growth that is promised in time is one
// part, and smaller parts lose more by ways there and back.
package spread
