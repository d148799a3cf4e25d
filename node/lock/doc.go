// Package lock provides the mutexes of the daemon's data path, whose order can be checked.
//
// Built as usual, Mutex is sync.Mutex. With the build tag lockorder it is a mutex that records which
// locks are taken while others are held, and ends the process with both stacks as soon as it sees two
// in both orders, whether or not they meet. The short soak plays such a build.
//
// # Order of the locks of node/gateway and its parts
//
// A lock may be taken while one of a line above is held, never the other way round:
//
//  1. gateway.Gateway: reloadMu, ownersMu, peaksMu, those of targetLog, statusPage and
//     enquirer
//  2. feed.Reader.mu, which is held while changes are passed to the gateway (feed.Sink)
//  3. relay.Relay.mu, the placement lock; loadreport.Service.mu
//  4. relay: holds.mu, broadcast.mu, Shares.mu, outcomeCounts.mu, and sending.mu of a request
//  5. allowances.Service.mu
//  6. fleet.Fleet.mu, volume.Meter.mu
//  7. upstream: Pool.mu, then targetPool.mu, then conn.mu or Tries.mu
//  8. callers: Server.mu, conn.mu, those of a streamed body and of interim responses; buffering.VM.mu
//  9. what writes logs and metrics
//
// In particular nothing asks the reader of the store for anything while it holds the placement lock. A
// callback of a part (the fields of its Config) is called without the part's lock, unless its comment
// says otherwise. Locks of one line are not taken while another one of it is held, unless the line
// names an order.
package lock
