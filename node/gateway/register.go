package gateway

import (
	"context"
	"time"

	"heatherlock/node/gateway/fleet"
	"heatherlock/platform"
)

// registerRetryInterval is the pause between two attempts to write to or read from the store at
// startup.
const registerRetryInterval = 500 * time.Millisecond

// register writes this VM's record to the store and reads those of other VMs. It retries until
// both succeed or ctx ends.
func (g *Gateway) register(ctx context.Context) {
	m := g.self()
	record := platform.EntryVM{Name: m.Name, Zone: m.Zone, Region: m.Region, Peer: m.Peer, Control: m.Control, Callers: m.Callers, Capacity: float64(m.Capacity)}
	for ctx.Err() == nil {
		err := g.store.PutEntryVM(ctx, record)
		if err == nil {
			break
		}
		_ = g.log.Log("msg", "cannot write own record to the store", "err", err) // the log writer counts dropped lines
		g.recordsRead.Store(true)
		sleep(ctx, registerRetryInterval)
	}
	for n := 0; ctx.Err() == nil; n++ {
		many, known := g.readMembers(ctx, n)
		g.recordsRead.Store(true)
		if known {
			return
		}
		sleep(ctx, registerRetryInterval)
		if many && g.fleet.LiveCount() > 1 {
			return
		}
	}
}

// enoughRecords is how many records of other VMs must have been found for a VM to rely on other VMs for
// the rest. With few VMs reading the records again costs less than the time until all are introduced,
// during which a VM takes too large a part of what they share.
const enoughRecords = 64

// maxStaleReads is how many reads of the entry VM records may use a store replica that lags,
// before a read requires current data.
const maxStaleReads = 3

// readMembers reads the records of the entry VMs for the nth time. many is set if there were enough of
// other VMs, and known if all records are known that were written before that of this VM.
//
// If there are many and a VM is live, that is enough as well: any list that is not empty holds
// the oldest record, so that all VMs that have read one are introduced to each other, over one VM or
// several.
//
// When all VMs start at once, the cost of these reads, each of which takes several pages, grows
// with the square of the fleet size. A read from a lagging replica costs the store a tenth of a
// current one. If it contains this VM's own record, it contains all earlier records as well.
func (g *Gateway) readMembers(ctx context.Context, n int) (many, known bool) {
	freshness := platform.MaybeStale
	if n >= maxStaleReads {
		freshness = platform.Fresh
	}
	list, err := g.store.EntryVMs(ctx, freshness)
	if err != nil {
		_ = g.log.Log("msg", "cannot read entry VM records", "err", err) // the log writer counts dropped lines
		return false, false
	}
	if list.InvalidRecords > 0 {
		_ = g.log.Log("msg", "ignoring invalid entry VM records", "count", list.InvalidRecords) // the log writer counts dropped lines
	}
	members := make([]fleet.Member, 0, len(list.VMs))
	for _, vm := range list.VMs {
		members = append(members, fleet.Member{Name: vm.Name, Zone: vm.Zone, Region: vm.Region, Peer: vm.Peer, Control: vm.Control, Callers: vm.Callers, Capacity: float32(vm.Capacity)})
	}
	g.fleet.Add(members)
	return len(members) > enoughRecords, list.IncludesWritesBefore(g.settings.VM) || freshness == platform.Fresh
}
