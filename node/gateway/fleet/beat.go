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
	// Incarnation distinguishes a process from earlier ones of the same name.
	Incarnation uint32
	// Number increases with each heartbeat of an incarnation.
	Number uint64
	// Serving is set while the VM takes requests.
	Serving bool
	// Leaving is set once the VM is shutting down.
	Leaving bool
	// CutOff is set while the VM has lost its links to all targets.
	CutOff bool
	// StoreReadsFail is set while the VM's own reads of the store fail.
	StoreReadsFail bool
	// ReadingStore is set while the VM reads the store.
	ReadingStore bool
	// WantsReply is set by a VM that has never received a heartbeat from the receiver; it requests
	// one.
	WantsReply bool
	// WantsMembers is set by a VM that requests the introduction of all other members.
	WantsMembers bool
	// Crowd is a hash of the set of VMs that the sender considers live. Two VMs with different sets
	// have, most likely, different hashes.
	Crowd uint32
	// StoreDigest says what the VM knows of the store.
	StoreDigest feed.Digest
	// ConfigContent is a hash of the content of the configuration in force. 0 means that it is
	// unknown or as reported before.
	ConfigContent uint32
	// ConfigWait says what the VM is waiting for while it knows of a newer configuration.
	ConfigWait catchup.Wait
	// Demand is the demand of the VM's own callers; nil means as reported before. For a VM of
	// another zone it is the demand of all callers of the sender's zone instead.
	Demand placement.DemandOf
	// Mates holds short IDs of VMs of the sender's zone. In a heartbeat to another zone, or with
	// ZoneReport set, they are the live ones; otherwise the standbys that the sender monitors. In a
	// heartbeat with WantsMembers they are VMs of the receiver's zone of which the sender has no
	// record.
	Mates []uint32
	// ZoneReport is set if Mates holds all live VMs of a zone with standbys. Without Mates the
	// receiver's view of the zone is left as it is.
	ZoneReport bool
	// Replaced holds targets at whose address a different target was found recently.
	Replaced []placement.StartID
	// Tight holds the workspaces whose allowance is nearly used up.
	Tight []allowance.LowBucketNotice
	// Suspects holds facts about requests that crash targets.
	Suspects []poison.Fact
	// Members introduces other members to a VM that may not know them.
	Members []Member
}

// Flags of a datagram.
const (
	flagServing = 1 << iota
	flagLeaving
	flagStoreFails
	flagWantsMembers
	flagReads
	flagWantsReply
	flagZoneReport
	flagEpoch
)

// datagram is the encoding of a heartbeat. Most of the control traffic of a large fleet is
// heartbeats, so the sender's addresses, which take a hundred bytes, are left out where the
// receiver has them.
type datagram struct {
	_           struct{} `cbor:",toarray"`
	Sender      uint64   // hash of the sender's name
	Incarnation uint32
	Number      uint64
	Flags       uint8
	Revision    int64
	Content     uint64
	Config      uint64
	NewestLead  uint64 // Newest minus Config
	Content32   uint32 // hash of the configuration's content
	Wait        uint8
	ConfigLag   int64 // Revision minus ConfigRevision
	EvacLag     int64 // Revision minus EvacuationRevision
	ColdLag     int64 // Revision minus ColdRevision
	EpochAge    int64 // age in ms; with flagEpoch see packEpochAge
	Crowd       uint32
	Evacuated   []steering.Zone
	Demand      placement.DemandOf
	Mates       []byte // short IDs of shortIDBytes each, and a byte of mateFlags if any is set
	Replaced    []placement.StartID
	Suspects    []poison.Fact
	From        *Member
	Introduced  []Member
	Tight       []allowance.LowBucketNotice
}

// idOf returns the ID that stands for a VM in datagrams.
func idOf(name steering.VM) uint64 { return xxhash.Sum64String(string(name)) >> idShift }

// idShift leaves 32 bits of an ID: the probability that two of 1,000 names share an ID is 1 in
// 8,600, and more bits would cost space, since each heartbeat holds one.
const idShift = 32

// shortIDBytes is the length of a short ID in a datagram. The list of a zone's VMs is most of what
// a VM of another zone is sent. Two of 50 VMs of a zone share a short ID with a probability of 1 in
// 14,000; if one of them ends, this is then noticed late.
const shortIDBytes = 3

// shortID returns the ID that stands for a VM among those of its zone.
func shortID(id uint64) uint32 { return uint32(id & (1<<(8*shortIDBytes) - 1)) }

func packShortIDs(ids []uint32) []byte {
	if len(ids) == 0 {
		return nil
	}
	packed := make([]byte, 0, shortIDBytes*len(ids))
	for _, id := range ids {
		packed = append(packed, byte(id>>16), byte(id>>8), byte(id))
	}
	return packed
}

// mateFlagCutOff is the flag of a VM that is cut off from all targets. All bits of the other flags are in
// use, and builds that know of none ignore what follows the last whole short ID.
const mateFlagCutOff = 1

func packMates(b Beat) []byte {
	packed := packShortIDs(b.Mates)
	if b.CutOff {
		packed = append(packed, mateFlagCutOff)
	}
	return packed
}

// mateFlags returns the flags that follow the short IDs.
func mateFlags(packed []byte) byte {
	if len(packed)%shortIDBytes == 0 {
		return 0
	}
	return packed[len(packed)-1]
}

func unpackShortIDs(packed []byte) []uint32 {
	var ids []uint32
	for ; len(packed) >= shortIDBytes; packed = packed[shortIDBytes:] {
		ids = append(ids, uint32(packed[0])<<16|uint32(packed[1])<<8|uint32(packed[2]))
	}
	return ids
}

// ageBits is how many bits of EpochAge hold the age of a digest in ms; its epoch is above them.
const ageBits = 32

// packEpochAge packs the epoch of a digest and its age into one number, which is the age in epoch 0.
//
// A build that knows no epochs accepts no further element in a datagram. It takes the number for an age
// so high that it never prefers it to that of its own read.
func packEpochAge(epoch uint64, ageMs int64) int64 {
	return int64(epoch)<<ageBits | max(min(ageMs, 1<<ageBits-1), 0)
}

// epochAge returns the epoch of the digest in a datagram and its age in ms.
func (d datagram) epochAge() (epoch uint64, ageMs int64) {
	if d.Flags&flagEpoch == 0 {
		return 0, d.EpochAge
	}
	return uint64(d.EpochAge) >> ageBits, d.EpochAge & (1<<ageBits - 1)
}

// encode returns the datagram for a heartbeat, with or without the sender's addresses.
func encode(b Beat, addresses bool) ([]byte, error) {
	k := b.StoreDigest
	d := datagram{Sender: idOf(b.From.Name), Incarnation: b.Incarnation, Number: b.Number, Revision: k.Revision, Content: k.Content, Config: k.Config, NewestLead: max(k.Newest, k.Config) - k.Config, Content32: b.ConfigContent, Wait: uint8(b.ConfigWait),
		ConfigLag: k.Revision - k.ConfigRevision, EvacLag: k.Revision - k.EvacuationRevision, ColdLag: k.Revision - k.ColdRevision, EpochAge: packEpochAge(k.Epoch, k.AgeMs), Crowd: b.Crowd, Evacuated: k.Evacuated, Demand: b.Demand, Mates: packMates(b), Replaced: b.Replaced, Suspects: b.Suspects, Introduced: b.Members, Tight: b.Tight}
	for _, f := range []struct {
		flag uint8
		set  bool
	}{{flagServing, b.Serving}, {flagLeaving, b.Leaving}, {flagStoreFails, b.StoreReadsFail}, {flagWantsMembers, b.WantsMembers}, {flagReads, b.ReadingStore}, {flagWantsReply, b.WantsReply}, {flagZoneReport, b.ZoneReport}, {flagEpoch, k.Epoch > 0}} {
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

// decode returns the heartbeat in a datagram and the ID of its sender. From is empty unless the
// datagram holds the sender's addresses.
func decode(raw []byte) (Beat, uint64, error) {
	b, id, rest, err := decodeNext(raw)
	if err == nil && len(rest) > 0 {
		err = errors.New("fleet: decode heartbeat: more data follows")
	}
	return b, id, err
}

// decodeNext decodes the first of several heartbeats in a datagram and returns what follows it.
func decodeNext(raw []byte) (b Beat, id uint64, rest []byte, err error) {
	var d datagram
	rest, err = cbor.UnmarshalFirst(raw, &d)
	if err != nil {
		return Beat{}, 0, nil, errors.Wrap(err, "fleet: decode heartbeat")
	}
	b, id = d.beat()
	return b, id, rest, nil
}

// beat returns the heartbeat and the ID of its sender.
func (d datagram) beat() (Beat, uint64) {
	epoch, ageMs := d.epochAge()
	b := Beat{Incarnation: d.Incarnation, Number: d.Number, Members: d.Introduced, Mates: unpackShortIDs(d.Mates), Replaced: d.Replaced, Suspects: d.Suspects, Tight: d.Tight,
		CutOff: mateFlags(d.Mates)&mateFlagCutOff != 0, Serving: d.Flags&flagServing != 0, Leaving: d.Flags&flagLeaving != 0, StoreReadsFail: d.Flags&flagStoreFails != 0, WantsMembers: d.Flags&flagWantsMembers != 0, ReadingStore: d.Flags&flagReads != 0, WantsReply: d.Flags&flagWantsReply != 0, ZoneReport: d.Flags&flagZoneReport != 0, Crowd: d.Crowd, Demand: d.Demand, ConfigContent: d.Content32, ConfigWait: catchup.Wait(d.Wait),
		StoreDigest: feed.Digest{Epoch: epoch, Revision: d.Revision, Content: d.Content, Config: d.Config, Newest: d.Config + d.NewestLead, ConfigRevision: d.Revision - d.ConfigLag,
			EvacuationRevision: d.Revision - d.EvacLag, ColdRevision: d.Revision - d.ColdLag, AgeMs: ageMs, Evacuated: d.Evacuated}}
	if d.From != nil {
		b.From = *d.From
	}
	return b, d.Sender
}
