// Package allowance enforces a request rate limit per workspace across all entry VMs, without
// sending a message for most requests.
//
// A workspace has one owner among the live entry VMs (OwnerOf). The owner keeps the token bucket
// of the workspace in its Ledger and lends credits from it to the VMs that receive the
// workspace's requests. A VM spends one credit per request (Account.Admit), reports its usage to
// the owner, and receives as many new credits as its callers are likely to need until the next
// report.
//
// How the limit is enforced:
//
//   - A credit is either in the bucket or held by one VM. It does not expire: a VM returns the
//     credits that it does not use, and the credits that a crashed VM held count as used.
//   - A report carries the VM's totals of used and held credits, so the next report makes up for
//     a lost report or reply. Replies to earlier reports are ignored.
//   - While the bucket is not low, a VM without credits may admit a few requests at once and
//     report them afterwards. The owner's replies and the heartbeats of other VMs notify it when
//     the bucket is low (Account.MarkLow); from then on it asks the owner before it admits a
//     request.
//   - An owner that can reach only a part of the fleet lends only that part of the limit. The
//     sides of a network partition therefore add up to one limit, whichever VMs own the
//     workspace.
//   - A new owner does not know what its predecessor lent. It starts with a part of the burst
//     that the agreed slack covers.
//
// A VM whose owner does not reply continues with the share of the rate that the owner last
// reported to it (Account.AdmitWithoutOwner).
//
// The limit that a target names for all VMs together is enforced in the same way, with one owner for
// each target. Such a limit is strict: there is no slack for requests without a credit.
//
// Trade-offs: the limit is strict for lent credits, and holds within the agreed slack for the
// requests that VMs admit before they know that a bucket is low. Splitting the limit into fixed
// parts would need no owner, but a workspace with less than one request per second and VM would
// find most parts empty. Moving the parts by the demand in heartbeats alone would lag by seconds.
package allowance
