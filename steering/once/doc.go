// Package once keeps the outcomes of non-idempotent requests that carry a request key, so that a
// key is executed at most once however often its caller repeats it.
//
// A key belongs to one incarnation (one process lifetime) of one entry VM, its home, which is
// named in the key's prefix. Only the Table of that incarnation may let the key run. Other entry
// VMs forward the request to the home, or answer that the outcome is unknown when the home is
// gone.
//
// Memory is bounded, so outcomes are evicted. An evicted key must never be mistaken for a new key
// and run a second time: a caller would be charged twice. Therefore the prefix also contains the
// epoch (minute) in which it was issued, and the table keeps the newest sealed epoch. New keys of
// a sealed epoch and of all earlier ones are refused:
//
//  1. The sealed epoch only increases.
//  2. An entry whose request may have run is removed only after its epoch is sealed.
//  3. A key without an entry runs only if its epoch is not sealed.
//
// A key that ran thus either has an entry or belongs to a sealed epoch, and does not run again.
// Time only determines when an epoch is sealed: with a wrong clock the table may refuse a new
// key, but it never runs a used one.
//
// Limitations: a new key must arrive within PrefixLifetime after its prefix was issued (less if
// memory is short, but never less than MinPrefixLifetime). Otherwise it is refused like an
// evicted key. Requests without a key are not recorded here; they get one try.
package once
