package member

import (
	"time"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/peer/peerpb"
	"heatherlock/steering"
	"heatherlock/steering/membership"
)

// memberStates maps the states of package membership to those of package seam.
var memberStates = map[membership.State]seam.MemberState{
	membership.StateLive:    seam.MemberLive,
	membership.StateSuspect: seam.MemberSuspect,
	membership.StateLeaving: seam.MemberLeaving,
	membership.StateGone:    seam.MemberGone,
}

// stateNames are the state names in logs and metrics.
var stateNames = map[seam.MemberState]string{
	seam.MemberLive: "live", seam.MemberSuspect: "suspect", seam.MemberLeaving: "leaving", seam.MemberGone: "gone",
}

func toSeam(m membership.Member) seam.Member {
	return seam.Member{
		VM: m.VM, Incarnation: m.Incarnation, Zone: m.Location.Zone, Region: m.Location.Region,
		CallerAddress: m.Location.CallerAddress, PeerAddress: m.Location.PeerAddress, OperatorAddress: m.Location.OperatorAddress,
		State: memberStates[m.State], LastReceived: m.LastReceived, ConfigVersion: m.ConfigVersion, InFlight: int(m.Load.InFlight),
	}
}

// wireStatus maps statuses to the numbers that seam.MemberState has. MemberSuspect is never sent,
// because suspicion applies to one observer only.
var wireStatus = map[membership.Status]uint32{
	membership.Live:    uint32(seam.MemberLive),
	membership.Leaving: uint32(seam.MemberLeaving),
	membership.Gone:    uint32(seam.MemberGone),
}

func factToWire(f membership.Fact) *peerpb.MemberFact {
	return &peerpb.MemberFact{
		Vm: string(f.VM), Incarnation: string(f.Incarnation), Zone: string(f.Location.Zone), Region: string(f.Location.Region),
		CallerAddress: f.Location.CallerAddress, PeerAddress: f.Location.PeerAddress, OperatorAddress: f.Location.OperatorAddress,
		State: wireStatus[f.Status], Beat: f.Load.Beat, ConfigVersion: f.ConfigVersion,
		StartedUnixNano: uint64(f.Started), InFlight: f.Load.InFlight,
	}
}

func factFromWire(w *peerpb.MemberFact) membership.Fact {
	f := membership.Fact{
		VM:             steering.VM(w.Vm),
		IncarnationKey: membership.IncarnationKey{Started: int64(w.StartedUnixNano), Incarnation: steering.Incarnation(w.Incarnation)},
		Location: membership.Location{Zone: steering.Zone(w.Zone), Region: steering.Region(w.Region), CallerAddress: w.CallerAddress,
			PeerAddress: w.PeerAddress, OperatorAddress: w.OperatorAddress},
		ConfigVersion: w.ConfigVersion,
		Load:          membership.Load{Beat: w.Beat, InFlight: w.InFlight},
	}
	switch seam.MemberState(w.State) {
	case seam.MemberLeaving:
		f.Status = membership.Leaving
	case seam.MemberGone:
		f.Status = membership.Gone
	}
	return f
}

func factsToWire(facts []membership.Fact) []*peerpb.MemberFact {
	wire := make([]*peerpb.MemberFact, len(facts))
	for i, f := range facts {
		wire[i] = factToWire(f)
	}
	return wire
}

// suspectedBit marks a member as suspected by the sender. It is the lowest bit of a packed
// heartbeat number.
const suspectedBit = 1

func livenessToWire(heartbeats []membership.Beat, configVersion int64) *peerpb.Liveness {
	w := &peerpb.Liveness{}
	anyLag := false
	for _, b := range heartbeats {
		packed := b.Beat << 1
		if b.Doubted {
			packed |= suspectedBit
		}
		w.Member = append(w.Member, uint32(b.ID))
		w.Beat = append(w.Beat, packed)
		lag := uint32(max(0, configVersion-b.ConfigVersion))
		w.ConfigLag = append(w.ConfigLag, lag)
		anyLag = anyLag || lag > 0
	}
	if !anyLag {
		w.ConfigLag = nil
	}
	return w
}

// livenessFromWire ignores entries without a member ID or a heartbeat number.
func livenessFromWire(w *peerpb.Liveness, configVersion int64) []membership.Beat {
	n := min(len(w.GetMember()), len(w.GetBeat()))
	heartbeats := make([]membership.Beat, n)
	for i := range n {
		heartbeats[i] = membership.Beat{
			ID: membership.ID(w.Member[i]), Beat: w.Beat[i] >> 1, Doubted: w.Beat[i]&suspectedBit != 0, ConfigVersion: configVersion,
		}
		if i < len(w.ConfigLag) {
			heartbeats[i].ConfigVersion -= int64(w.ConfigLag[i])
		}
	}
	return heartbeats
}

func reportToWire(r membership.Report) *peerpb.ZoneReport {
	w := &peerpb.ZoneReport{Reporter: uint32(r.Reporter), Beat: r.Beat, ConfigVersion: r.ConfigVersion}
	for _, id := range r.Doubted {
		w.Doubted = append(w.Doubted, uint32(id))
	}
	return w
}

func reportFromWire(w *peerpb.ZoneReport) membership.Report {
	r := membership.Report{Reporter: membership.ID(w.Reporter), Beat: w.Beat, ConfigVersion: w.ConfigVersion}
	for _, id := range w.Doubted {
		r.Doubted = append(r.Doubted, membership.ID(id))
	}
	return r
}

func bucketsToWire(b membership.Buckets) []uint32 { return b[:] }

// bucketsFromWire returns false if the message has no buckets.
func bucketsFromWire(w []uint32) (membership.Buckets, bool) {
	var b membership.Buckets
	if len(w) != len(b) {
		return b, false
	}
	copy(b[:], w)
	return b, true
}

// listedStatus maps the platform's VM states to statuses.
var listedStatus = map[objects.VMState]membership.Status{
	objects.VMLive:    membership.Live,
	objects.VMLeaving: membership.Leaving,
	objects.VMGone:    membership.Gone,
}

// toListed converts the list of VMs. It skips entries whose state is unknown.
func toListed(vms []objects.VM) []membership.ListedVM {
	var list []membership.ListedVM
	for _, vm := range vms {
		status, ok := listedStatus[vm.State]
		if !ok {
			continue
		}
		list = append(list, membership.ListedVM{
			VM: steering.VM(vm.Name), Status: status, Since: vm.Since,
			Location: membership.Location{Zone: steering.Zone(vm.Zone), Region: steering.Region(vm.Region),
				CallerAddress: vm.CallerAddress, PeerAddress: vm.PeerAddress, OperatorAddress: vm.OperatorAddress},
		})
	}
	return list
}

// ageMs rounds an age up to milliseconds, so that a fact never becomes younger when it is
// relayed.
func ageMs(age time.Duration) uint32 {
	return uint32(max(0, (age+time.Millisecond-1)/time.Millisecond))
}
