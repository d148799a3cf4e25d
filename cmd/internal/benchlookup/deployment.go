package benchlookup

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	"heatherlock/node/seam"
	"heatherlock/steering"
	"heatherlock/steering/routing"
)

// services are the services of the synthetic deployment. Every place has a target for each of them.
var services = []steering.Service{"schedule", "tickets", "certificates", "passes"}

// Prefix lengths to choose from at random, with repeated entries as weights. Most blocks of an
// access network have a prefix length of at most 24 (IPv4) or 48 (IPv6); the longer lengths of the
// remaining ones are not generated.
var (
	prefixLengths4 = []int{24, 24, 24, 24, 24, 23, 22, 21, 20, 19, 18, 17, 16}
	prefixLengths6 = []int{48, 48, 48, 44, 40, 36, 32}
)

// ipv4BlocksInTen is the number of blocks in ten that are IPv4.
const ipv4BlocksInTen = 8

// deployment is a synthetic deployment, generated at random from the seed in its options.
type deployment struct {
	options Options
	blocks  []routing.Block
	clients []netip.Addr
	members []seam.Member
}

// sampledClients is the number of client addresses that lookups cycle through. It is large enough
// that the table entries on their lookup paths do not fit in the CPU caches.
const sampledClients = 1 << 17

func newDeployment(o Options) *deployment {
	d := &deployment{options: o}
	random := rand.New(rand.NewPCG(o.Seed, 1))
	seen := make(map[netip.Prefix]bool, o.Blocks)
	for len(d.blocks) < o.Blocks {
		prefix := randomPrefix(random)
		if seen[prefix] {
			continue
		}
		seen[prefix] = true
		d.blocks = append(d.blocks, routing.Block{Prefix: prefix, Place: d.place(random.IntN(o.Places))})
	}
	for range sampledClients {
		d.clients = append(d.clients, randomClient(random, d.blocks[random.IntN(len(d.blocks))].Prefix))
	}
	for i := range o.VMs {
		d.members = append(d.members, d.member(i))
	}
	return d
}

func randomPrefix(random *rand.Rand) netip.Prefix {
	if random.IntN(10) < ipv4BlocksInTen {
		addr := netip.AddrFrom4([4]byte{byte(1 + random.IntN(222)), byte(random.IntN(256)), byte(random.IntN(256)), 0})
		prefix, _ := addr.Prefix(prefixLengths4[random.IntN(len(prefixLengths4))])
		return prefix
	}
	var bytes [16]byte
	bytes[0] = 0x20 + byte(random.IntN(2))
	bytes[1] = byte(random.IntN(16))
	for i := 2; i < 6; i++ {
		bytes[i] = byte(random.IntN(256))
	}
	prefix, _ := netip.AddrFrom16(bytes).Prefix(prefixLengths6[random.IntN(len(prefixLengths6))])
	return prefix
}

// randomClient returns a random address within prefix.
func randomClient(random *rand.Rand, prefix netip.Prefix) netip.Addr {
	bytes := prefix.Addr().AsSlice()
	for bit := prefix.Bits(); bit < len(bytes)*8; bit++ {
		if random.IntN(2) == 0 {
			bytes[bit/8] |= 0x80 >> (bit % 8)
		}
	}
	addr, _ := netip.AddrFromSlice(bytes)
	return addr
}

func (d *deployment) place(i int) steering.Place { return steering.Place(fmt.Sprintf("place-%03d", i)) }

func (d *deployment) zone(i int) steering.Zone {
	return steering.Zone(fmt.Sprintf("zone-%02d", i%d.options.Zones))
}

// zonesPerRegion is 4 because the design size has 30 zones in 8 regions.
const zonesPerRegion = 4

func (d *deployment) region(i int) steering.Region {
	return steering.Region(fmt.Sprintf("region-%d", i%d.options.Zones/zonesPerRegion))
}

func (d *deployment) member(i int) seam.Member {
	return seam.Member{
		VM:            steering.VM(fmt.Sprintf("vm-%03d", i)),
		Incarnation:   steering.Incarnation(fmt.Sprintf("I%015d", i)),
		Zone:          d.zone(i),
		Region:        d.region(i),
		CallerAddress: fmt.Sprintf("10.%d.%d.1:7000", i/256, i%256),
		PeerAddress:   fmt.Sprintf("10.%d.%d.1:7002", i/256, i%256),
	}
}

// memberView provides a fixed list of synthetic members to the subsystems under test.
type memberView struct{ members []seam.Member }

func (v memberView) Self() seam.Member                    { return v.members[0] }
func (v memberView) All() []seam.Member                   { return v.members }
func (v memberView) InZone(steering.Zone) []seam.Member   { return v.members[:1] }
func (v memberView) RecordReachability(steering.VM, bool) {}
func (v memberView) ByIncarnation(steering.Incarnation) (seam.Member, bool) {
	return seam.Member{}, false
}
