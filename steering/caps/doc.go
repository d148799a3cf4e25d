// Package caps decides at one entry VM which requests a cap admits, and divides the cap's permits
// among the entry VMs that admit requests under it.
//
// A cap of N requests per window W is represented by N permits. A permit starts one request and is
// free again W after that request was sent, so N permits start at most N requests in any window of
// length W, whichever entry VMs hold them. The package keeps the number of permits constant:
//
//   - Permits are assigned to seats. A seat is the number of permits that one incarnation of an
//     entry VM holds. All seats of a cap are stored in one object on the platform, which is changed
//     by conditional writes. Only the holder lowers its seat, and it stops using the permits before
//     it writes. Any entry VM may raise a seat, provided that the sum of the seats stays within the
//     cap. A seat is taken from its holder only when the platform lists its VM as gone or when a new
//     incarnation of the same VM writes itself into the seat.
//   - A permit that is added to a seat is not used until its last use elsewhere is at least one
//     window ago: the new holder waits Terms.SeatWait on its own clock, which also covers the loans
//     of the previous holder.
//   - A holder lends free permits for a short term. The lender stops using them before it answers.
//     The borrower counts the term from the moment it sent its request, less a margin; the lender
//     counts from the moment it answered, plus the margin and one window. Both follow the terms under
//     which the loan was made, also if the cap's window changes meanwhile. A lost, delayed or
//     duplicated message can leave permits unused but cannot create any.
//
// While a cap changes, and until every holder has the new version, the requests started in any
// window are bounded by the larger of the old and the new limit per the shorter of the two windows.
// One window later, the new cap alone applies. A holder applies a lower cap as soon as it receives
// it.
//
// Limits: a process that is paused between Take and sending the request may send up to twice the
// margin after its borrowed permit expired, which is the margin before the end of the term, without
// exceeding the cap; a longer pause at that point is not covered. A clock that stops with its VM,
// or that drifts by more than maxDriftPerMille, is not covered either.
package caps
