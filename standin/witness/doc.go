// Package witness records what the targets and callers of a test run observed, and
// checks heatherlock's promises against these records.
//
// Targets report the requests that reached them and the executions, and callers
// report the responses they got. Both identify a request by headers of this
// package, which entry VMs forward like any other header. As request records do not
// come from entry VMs, a defect in the system's own accounting cannot hide itself.
// The operator's side of the run reports planned stops and configuration versions.
// A promise that no traffic exercised is reported as not exercised, never as held.
//
// A Witness keeps a record of every request as long as it exists, so it is suited to
// bounded runs. It covers only the targets and callers that report to it.
package witness
