package gateway

import (
	"context"
	"time"

	"heatherlock/node/gateway/fleet"
	"heatherlock/platform"
	"heatherlock/steering"
)

// registerRetryInterval is the pause between two attempts to write to or read from the store at
// startup.
const registerRetryInterval = 500 * time.Millisecond

// register writes this VM's record to the store and reads those of other VMs. It retries until
// both succeed or ctx ends. If the store was restored from an older copy meanwhile, the record may be
// lost, and both are done again.
func (g *Gateway) register(ctx context.Context) {
	for ctx.Err() == nil {
		g.writeOwnRecord(ctx)
		epoch := g.store.Epoch()
		g.readOtherRecords(ctx)
		if g.store.Epoch() == epoch {
			g.recordsEpoch.Store(epoch)
			g.registered.Store(true)
			return
		}
	}
}

func recordOf(m fleet.Member) platform.EntryVM {
	return platform.EntryVM{Name: m.Name, Zone: m.Zone, Region: m.Region, Peer: m.Peer, Control: m.Control, Callers: m.Callers, Capacity: float64(m.Capacity)}
}

func (g *Gateway) writeOwnRecord(ctx context.Context) {
	for ctx.Err() == nil {
		err := g.store.PutEntryVM(ctx, recordOf(g.self()))
		if err == nil {
			return
		}
		_ = g.log.Log("msg", "cannot write own record to the store", "err", err) // the log writer counts dropped lines
		g.recordsRead.Store(true)
		sleep(ctx, registerRetryInterval)
	}
}

func (g *Gateway) readOtherRecords(ctx context.Context) {
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

// restoreRecords writes the records of VMs again that were lost when the store was restored from an
// older copy, and removes those of VMs that have left and are back in it.
//
// The VM that reads the store does so for all live VMs, one after the other: so the store is not called by
// all of them at once, and a VM that the store turns away is on record as well. Each VM that becomes the
// reader checks once an epoch. Its own record is written before the list is read, so that of two VMs
// which do not know of each other the one that writes later finds the other.
func (g *Gateway) restoreRecords(ctx context.Context) {
	epoch := g.store.Epoch()
	if !g.registered.Load() || g.leaving.Load() || g.recordsEpoch.Load() >= epoch || g.reader.Rank() > 0 || !g.restoringRecords.CompareAndSwap(false, true) {
		return
	}
	defer g.restoringRecords.Store(false)
	written, removed, err := g.reconcileRecords(ctx)
	if err == nil {
		g.recordsEpoch.Store(epoch)
	}
	_ = g.log.Log("msg", "records of entry VMs checked after a restore of the store", "epoch", epoch, "written", written, "removed", removed, "err", err) // the log writer counts dropped lines
}

// reconcileRecords makes the records match the live VMs. It returns how many it wrote and removed, also
// on error.
func (g *Gateway) reconcileRecords(ctx context.Context) (written, removed int, err error) {
	if _, err := g.store.RestoreEntryVM(ctx, recordOf(g.self()), platform.EntryVMList{}); err != nil {
		return 0, 0, err
	}
	list, err := g.store.EntryVMs(ctx, platform.Fresh)
	if err != nil {
		return 0, 0, err
	}
	left := g.fleet.Left()
	g.addMembers(list, left)
	for _, m := range g.fleet.Live() {
		if g.leaving.Load() {
			return written, removed, nil
		}
		done, err := g.store.RestoreEntryVM(ctx, recordOf(m), list)
		if err != nil {
			return written, removed, err
		}
		if done {
			written++
		}
	}
	for name := range left {
		done, err := g.store.RemoveListedEntryVM(ctx, name, list)
		if err != nil {
			return written, removed, err
		}
		if done {
			removed++
		}
	}
	return written, removed, nil
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
	return g.addMembers(list, nil) > enoughRecords, list.IncludesWritesBefore(g.settings.VM) || freshness == platform.Fresh
}

// addMembers adds the VMs on record to the members, but for those to be left out. It returns how many VMs
// are on record.
func (g *Gateway) addMembers(list platform.EntryVMList, without map[steering.VM]bool) int {
	members := make([]fleet.Member, 0, len(list.VMs))
	for _, vm := range list.VMs {
		if !without[vm.Name] {
			members = append(members, fleet.Member{Name: vm.Name, Zone: vm.Zone, Region: vm.Region, Peer: vm.Peer, Control: vm.Control, Callers: vm.Callers, Capacity: float32(vm.Capacity)})
		}
	}
	g.fleet.Add(members)
	return len(list.VMs)
}
