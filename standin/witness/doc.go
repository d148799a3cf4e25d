// Package witness records from outside the system what targets and callers
// saw, and judges heatherlock's promises by it.
//
// Nothing in it is told by an entry VM: targets report what reached them and
// what they ran, callers report what they were answered, and both identify a
// request by headers of this package, which entry VMs forward like any other
// header. A defect in the system's own book-keeping can therefore not hide
// itself. A promise that no traffic touched is judged "not exercised", never
// held.
//
// Limits: the witness keeps a record per request until it is dropped, so it
// serves bounded runs; it sees only the targets and callers that report to it.
package witness
