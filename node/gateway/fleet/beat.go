package fleet

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/node/gateway/catchup"
	"heatherlock/node/gateway/feed"
	"heatherlock/steering"
	"heatherlock/steering/allowance"
	"heatherlock/steering/placement"
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
	// Meets is set by a VM that has never heard the receiver: it wants a heartbeat.
	Meets bool
	// Asks is set by a VM that wants to be told of all others.
	Asks bool
	// Crowd tells apart which VMs the sender hears.
	Crowd uint32
	// Known says what the VM knows of the store.
	Known feed.Digest
	// ConfigContent is a hash of the content of the configuration in force; 0 if it is not
	// known, or as told before.
	ConfigContent uint32
	// ConfigWait is what the VM waits for while a newer configuration is known to it.
	ConfigWait catchup.Wait
	// Demand is what the VM's own callers ask; nil means as told before. A VM of
	// another zone is told that of all callers of the sender's zone instead.
	Demand placement.DemandOf
	// Mates are the short ids of the VMs of its zone that the sender hears.
	Mates []uint32
	// Replaced are targets at whose address another was found of late.
	Replaced []placement.StartID
	// Tight are the workspaces whose allowance is nearly used up.
	Tight []allowance.TightNews
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
	flagMeets
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
	NewestLead  uint64 // Newest less Config
	Content32   uint32 // hash of the configuration
	Wait        uint8
	ConfigLag   int64 // Revision less ConfigRevision
	EvacLag     int64 // Revision less EvacuationRevision
	ColdLag     int64 // Revision less ColdRevision
	AgeMs       int64
	Crowd       uint32
	Evacuated   []steering.Zone
	Demand      placement.DemandOf
	Mates       []byte // short ids, mateBytes each
	Replaced    []placement.StartID
	Suspects    []poison.Fact
	From        *Member
	Introduced  []Member
	Tight       []allowance.TightNews
}

// idOf names a VM in a datagram.
func idOf(name steering.VM) uint64 { return xxhash.Sum64String(string(name)) >> idShift }

// idShift leaves 32 bits of an id: the chance that two of 650 names share one is 1
// in 20,000, and an id is told for each VM of a zone.
const idShift = 32

// mateBytes is the length of a short id in a datagram. The list of a zone is most
// of what a VM of another zone is sent; of 50 VMs of one zone two share a short id
// with a chance of 1 in 14,000, and then one of them that ends is noticed late.
const mateBytes = 3

// shortOf names a VM among those of its zone.
func shortOf(id uint64) uint32 { return uint32(id & (1<<(8*mateBytes) - 1)) }

func packMates(mates []uint32) []byte {
	if len(mates) == 0 {
		return nil
	}
	packed := make([]byte, 0, mateBytes*len(mates))
	for _, id := range mates {
		packed = append(packed, byte(id>>16), byte(id>>8), byte(id))
	}
	return packed
}

func unpackMates(packed []byte) []uint32 {
	var mates []uint32
	for ; len(packed) >= mateBytes; packed = packed[mateBytes:] {
		mates = append(mates, uint32(packed[0])<<16|uint32(packed[1])<<8|uint32(packed[2]))
	}
	return mates
}

// encode returns a beat's datagram, with the sender's addresses or without.
func encode(b Beat, addresses bool) ([]byte, error) {
	k := b.Known
	d := datagram{Sender: idOf(b.From.Name), Incarnation: b.Incarnation, Number: b.Number, Revision: k.Revision, Content: k.Content, Config: k.Config, NewestLead: max(k.Newest, k.Config) - k.Config, Content32: b.ConfigContent, Wait: uint8(b.ConfigWait),
		ConfigLag: k.Revision - k.ConfigRevision, EvacLag: k.Revision - k.EvacuationRevision, ColdLag: k.Revision - k.ColdRevision, AgeMs: k.AgeMs, Crowd: b.Crowd, Evacuated: k.Evacuated, Demand: b.Demand, Mates: packMates(b.Mates), Replaced: b.Replaced, Suspects: b.Suspects, Introduced: b.Members, Tight: b.Tight}
	for _, f := range []struct {
		flag uint8
		set  bool
	}{{flagServing, b.Serving}, {flagLeaving, b.Leaving}, {flagStoreFails, b.StoreFails}, {flagAsks, b.Asks}, {flagReads, b.Reads}, {flagMeets, b.Meets}} {
		if f.set {
			d.Flags |= f.flag
		}
	}
	if addresses {
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
	b := Beat{Incarnation: d.Incarnation, Number: d.Number, Members: d.Introduced, Mates: unpackMates(d.Mates), Replaced: d.Replaced, Suspects: d.Suspects, Tight: d.Tight,
		Serving: d.Flags&flagServing != 0, Leaving: d.Flags&flagLeaving != 0, StoreFails: d.Flags&flagStoreFails != 0, Asks: d.Flags&flagAsks != 0, Reads: d.Flags&flagReads != 0, Meets: d.Flags&flagMeets != 0, Crowd: d.Crowd, Demand: d.Demand, ConfigContent: d.Content32, ConfigWait: catchup.Wait(d.Wait),
		Known: feed.Digest{Revision: d.Revision, Content: d.Content, Config: d.Config, Newest: d.Config + d.NewestLead, ConfigRevision: d.Revision - d.ConfigLag,
			EvacuationRevision: d.Revision - d.EvacLag, ColdRevision: d.Revision - d.ColdLag, AgeMs: d.AgeMs, Evacuated: d.Evacuated}}
	if d.From != nil {
		b.From = *d.From
	}
	return b, d.Sender, nil
}
