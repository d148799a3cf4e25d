package benchlookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// services of the made-up deployment; every place serves each.
var services = []steering.Service{"schedule", "tickets", "certificates", "passes"}

// Prefix lengths are drawn from these: most blocks of an access network are
// short of or at /24 and /48, and longer lengths cover the others.
var (
	bits4 = []int{24, 24, 24, 24, 24, 23, 22, 21, 20, 19, 18, 17, 16}
	bits6 = []int{48, 48, 48, 44, 40, 36, 32}
)

// shareIPv4 of ten blocks are IPv4.
const shareIPv4 = 8

// world is the made-up deployment.
type world struct {
	options Options
	blocks  []routing.Block
	clients []netip.Addr
	members []seam.Member
}

// clientsDrawn is the number of client addresses that look-ups go through; far
// more than a processor's caches hold paths for.
const clientsDrawn = 1 << 17

func newWorld(o Options) *world {
	w := &world{options: o}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	seen := make(map[netip.Prefix]bool, o.Blocks)
	for len(w.blocks) < o.Blocks {
		prefix := drawPrefix(random)
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		w.blocks = append(w.blocks, routing.Block{Prefix: prefix, Place: w.place(random.IntN(o.Places))})
	}
	for range clientsDrawn {
		w.clients = append(w.clients, drawClient(random, w.blocks[random.IntN(len(w.blocks))].Prefix))
	}
	for i := range o.VMs {
		w.members = append(w.members, w.member(i))
	}
	return w
}

func drawPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(10) < shareIPv4 {
		addr := netip.AddrFrom4([4]byte{byte(1 + random.IntN(222)), byte(random.IntN(256)), byte(random.IntN(256)), 0})
		prefix, _ := addr.Prefix(bits4[random.IntN(len(bits4))])
		return prefix
	}
	var bytes [16]byte
	bytes[0] = 0x20 + byte(random.IntN(2))
	bytes[1] = byte(random.IntN(16))
	for i := 2; i < 6; i++ {
		bytes[i] = byte(random.IntN(256))
	}
	prefix, _ := netip.AddrFrom16(bytes).Prefix(bits6[random.IntN(len(bits6))])
	return prefix
}

// drawClient returns an address within a prefix.
func drawClient(random *rand.Rand, prefix netip.Prefix) netip.Addr {
	bytes := prefix.Addr().AsSlice()
	for bit := prefix.Bits(); bit < len(bytes)*8; bit++ {
		if random.IntN(2) == 0 {
			bytes[bit/8] |= 0x80 >> (bit % 8)
		}
	}
	addr, _ := netip.AddrFromSlice(bytes)
	return addr
}

func (w *world) place(i int) steering.Place { return steering.Place(fmt.Sprintf("place-%03d", i)) }

func (w *world) zone(i int) steering.Zone {
	return steering.Zone(fmt.Sprintf("zone-%02d", i%w.options.Zones))
}

// zonesPerRegion follows from 30 zones in 8 regions.
const zonesPerRegion = 4

func (w *world) region(i int) steering.Region {
	return steering.Region(fmt.Sprintf("region-%d", i%w.options.Zones/zonesPerRegion))
}

func (w *world) member(i int) seam.Member {
	return seam.Member{
		VM:            steering.VM(fmt.Sprintf("vm-%03d", i)),
		Incarnation:   steering.Incarnation(fmt.Sprintf("I%015d", i)),
		Zone:          w.zone(i),
		Region:        w.region(i),
		CallerAddress: fmt.Sprintf("10.%d.%d.1:7000", i/256, i%256),
		PeerAddress:   fmt.Sprintf("10.%d.%d.1:7002", i/256, i%256),
	}
}

// view gives the made-up members to the parts measured.
type view struct{ members []seam.Member }

func (v view) Self() seam.Member                    { return v.members[0] }
func (v view) All() []seam.Member                   { return v.members }
func (v view) InZone(steering.Zone) []seam.Member   { return v.members[:1] }
func (v view) RecordReachability(steering.VM, bool) {}
func (v view) ByIncarnation(steering.Incarnation) (seam.Member, bool) {
	return seam.Member{}, false
}
