// Package retry decides whether a failed try is followed by a retry, and whether a slow try is
// hedged.
//
// Retries without a budget turn a partial failure into an overload: when half of the targets
// fail, every request that hits them is sent twice, the extra load overloads the healthy half,
// and the failure spreads. It shows as a load on targets well above the request rate of the
// callers. Therefore each pool (a service at a place) has a budget that grows with first tries
// only: at 10 %, ten first tries allow one extra try. Hedges are charged to the same budget and
// to a smaller one of their own, so that a period of slow responses cannot use up the budget that
// failures need.
//
// Further rules, each against one kind of failure:
//
//   - Only the entry VM that received the request from its caller sends an extra try, and only
//     one: retries at every hop would multiply.
//   - An extra try never goes to a target that already received the request.
//   - A non-idempotent request is retried only if the failed try is known not to have run.
//   - Only idempotent requests are hedged.
//   - No extra try is sent when the deadline leaves no time for an answer.
//
// Limitations: each entry VM has its own budget. The budget is bounded, so a pool without traffic
// accumulates at most MaxSavedTries for later. A pool starts with one extra try.
package retry
