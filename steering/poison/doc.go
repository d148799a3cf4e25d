// Package poison detects requests that crash the targets that run them, and
// refuses them after the second target is lost.
//
// A poison request crashes every target that runs it, and its caller retries
// it. Without detection it takes down a pool target by target: targets crash
// one after the other, each with the same request in flight.
//
// A List records each loss of a target against every request that the target
// was running: under the fingerprint of the request's content, under its
// request key, and under the fingerprint combined with each further header,
// because the crash may be caused by a header that other requests do not have.
// Most of the requests that were in flight are harmless, so the following rules
// narrow the suspicion down:
//
//   - A normal response to a request clears every ID of that request.
//   - A suspected request is sent on trial: one request with the same ID at a
//     time, and not to a target that is running another trial, so that a second
//     loss points to one request and not to, say, four.
//   - An ID that completed within the last minutes (a schedule page that many
//     callers read) is refused only after a trial of it lost its target; all
//     losses outside of trials count as one, because copies may have been in
//     flight on every target of a zone that failed.
//   - Losses that are part of a mass loss (several targets within a second)
//     are weak: two of them block a request for seconds instead of a quarter of
//     an hour.
//   - An ID that a poison request shares with harmless requests (its page, when
//     a header causes the crash) is refused only in combination with the other
//     IDs of the signature.
//
// Entry VMs exchange what they recorded as Facts.
//
// Limitations:
//
//   - If two targets are lost for another reason, one after the other, each with
//     a request of the same content in flight, and no such request finishes in
//     between, that content is refused for Config.LossTTL.
//   - Copies that were sent before the first loss became known cannot be
//     recalled.
//   - A request that changes its content and its key with each retry counts as a
//     new request each time.
//   - Of a body larger than FingerprintBytes only the beginning and the length
//     are known before the request is sent, so such a request is never cleared
//     by the response to another one.
//   - A request that only sometimes crashes its target is not detected.
package poison
