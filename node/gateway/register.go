package gateway

import (
	"context"
	"time"

	"heatherlock/node/gateway/fleet"
	"heatherlock/platform"
)

// registerPause is waited between two tries to reach the store at start.
const registerPause = 500 * time.Millisecond

// register records this VM in the store and reads the others' records.
func (g *Gateway) register(ctx context.Context) {
	m := g.self()
	record := platform.EntryVM{Name: m.Name, Zone: m.Zone, Region: m.Region, Peer: m.Peer, Control: m.Control, Callers: m.Callers, Capacity: float64(m.Capacity)}
	for ctx.Err() == nil {
		err := g.store.PutEntryVM(ctx, record)
		if err == nil {
			break
		}
		_ = g.log.Log("msg", "not recorded in the store", "err", err) // the writer counts what it drops
		pause(ctx, registerPause)
	}
	for n := 0; ctx.Err() == nil; n++ {
		if g.readMembers(ctx, n) {
			return
		}
		pause(ctx, registerPause)
	}
}

// staleReads is how many reads of the entry VMs' records may be of a copy of the store
// that lags, before one is asked for that does not.
const staleReads = 3

// readMembers reads the records of entry VMs, for the nth time, and reports whether all
// are known that were written before this VM's own.
//
// With the pages of the list these calls grow with the square of the fleet when all start
// at once. A copy that lags costs the store a tenth, and proves by this VM's own record that
// it holds all that matters.
func (g *Gateway) readMembers(ctx context.Context, n int) (known bool) {
	freshness := platform.MaybeStale
	if n >= staleReads {
		freshness = platform.Fresh
	}
	list, err := g.store.EntryVMs(ctx, freshness)
	if err != nil {
		_ = g.log.Log("msg", "records of entry VMs not read", "err", err) // the writer counts what it drops
		return false
	}
	if list.Bad > 0 {
		_ = g.log.Log("msg", "records of entry VMs that cannot be read are left out", "count", list.Bad) // as above
	}
	members := make([]fleet.Member, 0, len(list.VMs))
	for _, vm := range list.VMs {
		members = append(members, fleet.Member{Name: vm.Name, Zone: vm.Zone, Region: vm.Region, Peer: vm.Peer, Control: vm.Control, Callers: vm.Callers, Capacity: float32(vm.Capacity)})
	}
	g.fleet.Add(members)
	return list.Covers(g.settings.VM) || freshness == platform.Fresh
}
