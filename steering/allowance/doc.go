// Package allowance bounds how many requests of a workspace run per second, over all
// entry VMs together, without a message for most requests.
//
// A workspace has one owner among the live entry VMs (OwnerOf). The owner keeps its
// token bucket, the Ledger, and lends credits from it to the VMs that its callers use. A VM
// takes a credit for each request (Account.Admit), reports what it used, and gets as many
// new credits as its callers are likely to need until the next report.
//
// How the bound holds:
//
//   - Credits lie either in the bucket or with one VM, and no clock moves them: a VM gives
//     back what nobody uses, and what a VM held that has ended counts as used.
//   - A report tells all that a VM has used and holds, so that a lost report or answer is
//     made good by the next report. Answers to earlier reports count for nothing.
//   - While the bucket is not low, a VM without credits may let a few requests run at once
//     and report them. It is told when the bucket runs low (Tight), by the owner's
//     answers and by heartbeats; from then on it asks first.
//   - An owner that hears a part of the fleet lends that part of the limit: the parts of a
//     fleet that is cut in two add up to one limit, whoever owns what.
//   - A new owner does not know what its predecessor lent. It begins with a part of the
//     burst that the agreed slack covers.
//
// A VM whose owner does not answer goes on with the part of the rate that the owner last
// said it has (Account.Alone).
//
// Trade-offs. The bound is strict for what is lent, and holds within the agreed slack for
// what VMs let run before they hear that a bucket is low. Splitting the limit into fixed
// parts needs no owner, but a workspace with less than a request per second and VM then
// finds most parts empty. Following demand by heartbeats alone moves parts by seconds.
package allowance
