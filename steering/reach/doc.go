// Package reach decides whether an entry VM has lost its links to all targets, and which other entry
// VM then passes on its requests.
//
// A target that cannot be reached is a fact about a pair of a VM and a target. A VM that charges each
// failure to the target ejects one target after the other, and refuses requests that every other VM
// could pass on. So a VM that meets a failure and hears from no target meanwhile asks whose fault it
// is: it connects to a few targets in different zones. If none accepts, the VM is cut off.
//
// The package handles these situations:
//
//   - One VM, a zone or most VMs cut off: the VMs that are left share the requests of the others in
//     proportion to what they can forward. Each VM that is cut off uses few of them, so that it needs
//     few connections, and different ones than others.
//   - A region whose remaining VMs cannot bear the demand of all its callers: requests also go to
//     other regions.
//   - Targets that fail: others accept connections, and the VM is not cut off.
//   - All targets failed, or all VMs cut off: no VM can help, and requests are refused at once.
//   - A cut that ends and returns: the VM goes back to its own links later each time.
//
// Alternatives considered are readiness alone, which leaves callers with cached directory responses
// behind, and one verdict per target, which needs as many failures as there are targets.
package reach
