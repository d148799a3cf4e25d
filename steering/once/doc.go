// Package once keeps the outcomes of keyed non-idempotent requests, so that a
// key is executed at most once however often its caller repeats it.
//
// A key is bound to one incarnation of one entry VM, named in its prefix. Only
// that incarnation's Table may let the key run; every other one passes the
// request home, or answers that the outcome is unknown when home is gone.
//
// Memory is bounded, so outcomes are forgotten. What must never happen is that
// a forgotten key is taken for one never seen and runs a second time: a caller
// would notice a double charge. Therefore the prefix also carries the epoch
// (minute) of issue, and the table keeps one number, the newest sealed epoch:
//
//  1. the sealed epoch only grows;
//  2. an entry whose request may have run is removed only when its epoch is
//     sealed;
//  3. a key that is not in the table runs only when its epoch is not sealed.
//
// A key that ran is thus either in the table or sealed, and runs no more. Time
// only chooses when an epoch is sealed; a wrong clock can make the table refuse
// a fresh key, never run a used one.
//
// Limits: a fresh key must arrive within FreshFor of its prefix's issue (less
// when memory is short, never under MinFresh), else it is refused as if it were
// forgotten. Requests without a key are not kept here: they get one try.
package once
