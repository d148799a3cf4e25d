// Package poison remembers requests that take down the targets that run them,
// and refuses them after the second target lost.
//
// Now and then one request crashes every target that runs it, and its caller
// sends it again. Unrecognised, it takes down a pool target by target; one would
// notice targets dying one after the other with the same request in hand.
//
// A loss is recorded against every request that the lost target held, under the
// request's content fingerprint, under its key, and under the fingerprint with
// each further header: the harm may lie in a header that others do not send. Most of them are innocent,
// so suspicion has to narrow:
//
//   - a like request that finishes normally clears the suspicion;
//   - a suspect is tried alone: one like request at a time, and not on a target
//     on which another suspect is being tried, so that a second loss names one
//     request and not four;
//   - a fingerprint that finished normally in the last minutes (a schedule page
//     that everybody reads) is refused only when a trial on its own is lost;
//     the copies that were in flight when a zone failed count once;
//   - losses amid a mass loss (several targets within a second) are weak: two
//     of them hold a request back for seconds, not for a quarter of an hour;
//   - what a harmful request shares with harmless ones (its page, when the harm
//     is in a header) is refused only together with the rest of its signature.
//
// Limits. Two targets lost for another reason, one after the other, with requests
// of the same content in hand and none finished in between, hold that content
// back for KeepFor. Copies already sent when the first loss becomes known cannot be
// recalled. A request that changes its content and its key with each repeat is
// a new request. Of a body larger than FingerprintBytes only the beginning and
// the length are known before it is sent, so such a request is never cleared by
// another one. A request that sometimes finishes normally is not recognised.
package poison
