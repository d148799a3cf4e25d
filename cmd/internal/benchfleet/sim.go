package benchfleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"heatherlock/node/gateway/fleet"
	"heatherlock/steering"
)

// zone is an availability zone of the simulated fleet.
type zone struct {
	name   steering.Zone
	region steering.Region
}

// sim is a simulated fleet.
type sim struct {
	*clock
	network *network
	store   *store
	regions map[steering.Zone]steering.Region
	zones   []zone
	vms     []*vm
	// nextConfig is the newest version of the configuration that was ever written.
	nextConfig uint64
}

// zonesPerRegion is how many zones a region of the simulated fleet has.
const zonesPerRegion = 3

// largeEvery is the number of VMs of which one has a large share of a processor and a fast link.
const largeEvery = 10

// newSim returns a fleet whose VMs have not started.
func newSim(vms, zones, targets int, seed uint64) *sim {
	c := &clock{now: time.Unix(1_000_000, 0)}
	s := &sim{clock: c, network: &network{clock: c, random: rand.New(rand.NewPCG(seed, 1)), byPeer: make(map[string]*vm)}, regions: make(map[steering.Zone]steering.Region), nextConfig: 1}
	for z := range zones {
		next := zone{name: steering.Zone(fmt.Sprint("zone-", z)), region: steering.Region(fmt.Sprint("region-", z/zonesPerRegion))}
		s.zones = append(s.zones, next)
		s.regions[next.name] = next.region
	}
	s.store = newStore(c, s.zones, targets)
	for i := range vms {
		s.addVM(i)
	}
	return s
}

func (s *sim) addVM(i int) {
	z := s.zones[i%len(s.zones)]
	host := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
	megabits, capacity := 20.0, float32(480)
	if i/len(s.zones)%largeEvery == 0 {
		megabits, capacity = 1000, 2400
	}
	v := &vm{sim: s, self: fleet.Member{Name: steering.VM(fmt.Sprintf("front-%s-%d", z.name, i)), Zone: z.name, Region: z.region, Peer: host + ":7620", Control: host + ":8649", Callers: host + ":8641", Capacity: capacity}}
	v.address = &net.UDPAddr{IP: net.ParseIP(host), Port: 7620}
	v.in.bytesPerSecond, v.out.bytesPerSecond = megabits*1e6/8, megabits*1e6/8
	s.vms = append(s.vms, v)
	s.network.byPeer[v.self.Peer] = v
}

// startSpread is the time within which all VMs of a fleet start.
const startSpread = 300 * time.Millisecond

// startAll starts VMs within startSpread.
func (s *sim) startAll(vms []*vm) {
	for _, v := range vms {
		s.after(time.Duration(s.network.random.Int64N(int64(startSpread))), v.start)
	}
}

// until advances the clock until done returns true, and returns how long that took. It gives up
// after limit.
func (s *sim) until(limit time.Duration, done func() bool) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += step {
		if done() {
			return waited, true
		}
		s.advance(step)
	}
	return limit, done()
}

// each reports whether a condition holds for all running VMs.
func (s *sim) each(condition func(*vm) bool) bool {
	for _, v := range s.vms {
		if v.running && !condition(v) {
			return false
		}
	}
	return true
}
