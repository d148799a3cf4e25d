package fleet

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
	"heatherlock/steering/poison"
)

// Beat is a heartbeat.
type Beat struct {
	From Member
	// Incarnation tells one process from the next of the same name.
	Incarnation uint32
	// Number grows with each beat of an incarnation.
	Number uint64
	// Serving VMs take requests.
	Serving bool
	// Leaving VMs are about to end.
	Leaving bool
	// StoreFails is set while the VM's own reads of the store fail.
	StoreFails bool
	// Reads is set while the VM reads the store.
	Reads bool
	// Asks is set by a VM that does not know the receiver, or anybody.
	Asks bool
	// Known says what the VM knows of the store.
	Known feed.Digest
	// Demand is the slots kept busy by the VM's own callers, by service; nil
	// means as told before.
	Demand map[steering.Service]float64
	// Mates are the ids of the VMs of its zone that the sender hears.
	Mates []uint64
	// Suspects are facts on requests that crash targets.
	Suspects []poison.Fact
	// Members introduces others to a VM that may not know them.
	Members []Member
}

// Flags of a datagram.
const (
	flagServing = 1 << iota
	flagLeaving
	flagStoreFails
	flagAsks
	flagReads
)

// datagram is a beat on the wire. As the fleet grows heartbeats are most of what
// control sends, so the sender's addresses, a hundred bytes, are left out where
// the receiver has them.
type datagram struct {
	_           struct{} `cbor:",toarray"`
	Sender      uint64   // hash of the sender's name
	Incarnation uint32
	Number      uint64
	Flags       uint8
	Revision    int64
	Content     uint64
	Config      uint64
	ConfigLag   int64 // Revision less ConfigRevision
	EvacLag     int64 // Revision less EvacuationRevision
	ColdLag     int64 // Revision less ColdRevision
	AgeMs       int64
	Evacuated   []steering.Zone
	Demand      map[steering.Service]float32
	Mates       []uint64
	Suspects    []poison.Fact
	From        *Member
	Introduced  []Member
}

// idOf names a VM in a datagram.
func idOf(name steering.VM) uint64 { return xxhash.Sum64String(string(name)) >> idShift }

// idShift leaves 32 bits of an id: the chance that two of 650 names share one is 1
// in 20,000, and an id is told for each VM of a zone.
const idShift = 32

// encode returns a beat's datagram; full ones name the sender's addresses.
func encode(b Beat, full bool) ([]byte, error) {
	k := b.Known
	d := datagram{Sender: idOf(b.From.Name), Incarnation: b.Incarnation, Number: b.Number, Revision: k.Revision, Content: k.Content, Config: k.Config,
		ConfigLag: k.Revision - k.ConfigRevision, EvacLag: k.Revision - k.EvacuationRevision, ColdLag: k.Revision - k.ColdRevision, AgeMs: k.AgeMs, Evacuated: k.Evacuated, Mates: b.Mates, Suspects: b.Suspects, Introduced: b.Members}
	for flag, set := range map[uint8]bool{flagServing: b.Serving, flagLeaving: b.Leaving, flagStoreFails: b.StoreFails, flagAsks: b.Asks, flagReads: b.Reads} {
		if set {
			d.Flags |= flag
		}
	}
	if len(b.Demand) > 0 {
		d.Demand = make(map[steering.Service]float32, len(b.Demand))
		for service, slots := range b.Demand {
			d.Demand[service] = float32(slots)
		}
	}
	if full {
		d.From = &b.From
	}
	raw, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: encode heartbeat")
	}
	return raw, nil
}

// decode returns a datagram's beat. Its sender is named by id alone unless the
// datagram says more.
func decode(raw []byte) (Beat, uint64, error) {
	var d datagram
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return Beat{}, 0, errors.Wrap(err, "fleet: decode heartbeat")
	}
	b := Beat{Incarnation: d.Incarnation, Number: d.Number, Members: d.Introduced, Mates: d.Mates, Suspects: d.Suspects,
		Serving: d.Flags&flagServing != 0, Leaving: d.Flags&flagLeaving != 0, StoreFails: d.Flags&flagStoreFails != 0, Asks: d.Flags&flagAsks != 0, Reads: d.Flags&flagReads != 0,
		Known: feed.Digest{Revision: d.Revision, Content: d.Content, Config: d.Config, ConfigRevision: d.Revision - d.ConfigLag,
			EvacuationRevision: d.Revision - d.EvacLag, ColdRevision: d.Revision - d.ColdLag, AgeMs: d.AgeMs, Evacuated: d.Evacuated}}
	if d.Demand != nil {
		b.Demand = make(map[steering.Service]float64, len(d.Demand))
		for service, slots := range d.Demand {
			b.Demand[service] = float64(slots)
		}
	}
	if d.From != nil {
		b.From = *d.From
	}
	return b, d.Sender, nil
}
