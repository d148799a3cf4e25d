// Package notrun decides what proves that a request has not run and never will.
//
// The load: targets that are full reject requests, fail, lose answers, and send bytes that belong to no request.
// Callers are told "not run" for purchases that they then make again, and an entry VM sends a request that must run
// at most once to a second target. Whatever is taken for proof and is none makes it run twice.
//
// There are three proofs:
//
//   - [NothingSent]: no byte of the request has left the VM, and none will.
//   - [Rejected]: the receiver states that it has not run the request, in a response that names it. One that names
//     another request or none belongs to no request in flight: targets repeat the ID of each request that has one.
//     A request without an ID cannot be named, so that a rejection of it proves nothing.
//   - [ReturnedByVM]: another entry VM says so of the request that was passed on to it, from proofs of its own.
//
// A response names a request, not a try: it may be a copy of that to an earlier try. Connections therefore carry the
// tries of one request once each; the transport sees to that.
package notrun
