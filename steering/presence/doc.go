// Package presence decides what an entry VM may expect of another one.
//
// It answers planned stops that overlap. A VM that is told to stop announces it at once and takes
// nothing new, but for seconds finishes what it has, also for other VMs. If these take it for lost,
// they break off requests that targets run, and answer 502 to callers whose purchase goes through.
// If they take it for live until it ends, requests wait until their deadline for a VM that was killed
// while it was leaving.
//
// Five facts are kept apart: a VM is Live, or Leaving, which is announced; once it is no longer heard
// it has Ended as announced, or is Lost; and Unknown VMs were never heard. Whether a VM is cut off
// from all targets is a sixth, which says nothing about its process.
//
//   - Only a Live VM gets anything new: requests, shares, callers.
//   - Live and Leaving VMs are expected to answer what they have.
//   - Of a VM that has Ended or is Lost nothing more is expected, nor of an earlier process of a VM
//     that has started again.
package presence
