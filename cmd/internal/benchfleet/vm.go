package benchfleet

import (
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"

	"heatherlock/node/gateway/feed"
	"heatherlock/node/gateway/fleet"
	"heatherlock/platform"
	"heatherlock/steering"
	"heatherlock/steering/departure"
	"heatherlock/steering/poison"
	"heatherlock/steering/routes"
	"heatherlock/steering/storepos"
)

// counters hold what a VM has sent and received, and the processor time that its control work took.
type counters struct {
	Datagrams, DatagramBytes int
	PullBytes, StoreBytes    int
	Enquiries, EnquiryBytes  int
	Work                     time.Duration
}

func (c *counters) sent(bytes int) {
	c.Datagrams++
	c.DatagramBytes += bytes
}

// pollInterval is how often a VM that knows nothing checks whether to read the store.
const pollInterval = 50 * time.Millisecond

// vm is a simulated entry VM.
type vm struct {
	sim     *sim
	self    fleet.Member
	address net.Addr
	in, out link
	count   counters

	running   bool
	life      uint32 // incremented with each start
	startedAt time.Time
	fleet     *fleet.Fleet
	state     *feed.State
	reading   bool
	recorded  bool // the records of the others were read
	pulling   bool
	enquiry   *departure.Enquiry
	peers     map[steering.VM]*vm // that were heard
	lacking   storepos.Position   // since when departures may be unknown
	tickSoon  bool
	// turnedAway is set while the store refuses this VM's calls, failing once one was refused.
	turnedAway, failing bool
	// cutOff is set while the VM has lost its links to all targets.
	cutOff *cutOff
}

// start starts the VM's process.
func (v *vm) start() {
	v.life++
	v.running, v.startedAt = true, v.sim.now
	v.reading, v.recorded, v.pulling, v.tickSoon, v.failing = false, false, false, false, false
	v.state = feed.NewState(targetHeartbeat, v.sim.regions)
	v.state.SetTable(v.sim.now, tableOf(1))
	v.enquiry, v.peers = departure.NewEnquiry(feed.OutOfTouchAfter(targetHeartbeat)), make(map[steering.VM]*vm)
	v.fleet = fleet.New(fleet.Config{Self: v.self, Log: log.NewNopLogger(), Incarnation: v.life, Clock: func() time.Time { return v.sim.now },
		FillBeat: v.fillBeat, HandleBeat: v.handleBeat, Suspects: func(bool) []poison.Fact { return nil }}, &port{v})
	v.later(0, v.tick)
	v.later(0, v.register)
	v.later(pollInterval, v.checkRead)
}

// later schedules work of this process; it is dropped if the process has ended by then.
func (v *vm) later(d time.Duration, run func()) {
	life := v.life
	v.sim.after(d, func() {
		if v.running && v.life == life {
			v.work(run)
		}
	})
}

// work runs control work and counts its processor time.
func (v *vm) work(run func()) {
	began := time.Now()
	run()
	v.count.Work += time.Since(began)
}

func (v *vm) receive(raw []byte, from *vm) {
	v.work(func() { v.fleet.Receive(raw, from.address) })
}

// tick sends heartbeats and schedules the next tick.
func (v *vm) tick() {
	_, pause := v.fleet.Tick()
	v.later(pause, v.tick)
}

// announce sends heartbeats at once.
func (v *vm) announce() {
	v.fleet.Announce()
	v.fleet.Tick()
}

func (v *vm) fillBeat(b *fleet.Beat) {
	b.Serving = v.state.Complete()
	b.CutOff = v.cutOff != nil && v.cutOff.links.CutOff()
	b.StoreDigest = v.state.Digest(v.sim.now)
	b.ReadingStore, b.StoreReadsFail = v.reading, v.failing
}

func (v *vm) handleBeat(b fleet.Beat) {
	pull, _ := v.state.Merge(v.sim.now, b.StoreDigest)
	v.noteHeard(b)
	if !pull || v.pulling {
		return
	}
	v.pulling = true
	zoneRank, _ := v.fleet.RequestRank()
	peer := v.sim.network.byPeer[b.From.Peer]
	v.later(feed.PullDelay(b.From.Zone == v.self.Zone, zoneRank), func() {
		if pull, _ := v.state.Merge(v.sim.now, b.StoreDigest); !pull {
			v.pulling = false
			return
		}
		v.pull(peer)
	})
}

// noteHeard records a heartbeat, and begins to ask for departures if this VM has been out of touch.
func (v *vm) noteHeard(b fleet.Beat) {
	if b.StoreDigest.Revision > 0 {
		v.enquiry.Heard(v.sim.now, b.From.Name)
		v.peers[b.From.Name] = v.sim.network.byPeer[b.From.Peer]
	}
	gap, ended := v.state.TakeGap()
	if !ended {
		return
	}
	if gap.Since.IsZero() {
		gap.Since = v.state.KnownPosition()
	}
	active := v.enquiry.Active(v.sim.now)
	v.lacking = gap.Since
	v.enquiry.Begin(v.sim.now, gap.Length)
	if !active {
		v.enquire()
	}
}

// enquire asks other VMs for departures until one has told all or the enquiry ends.
func (v *vm) enquire() {
	if !v.enquiry.Active(v.sim.now) {
		return
	}
	v.later(departure.PollInterval, v.enquire)
	if name, ask := v.enquiry.Next(v.sim.now); ask {
		v.askDepartures(v.peers[name], v.lacking)
	}
}

// askDepartures asks one VM for departures.
func (v *vm) askDepartures(peer *vm, since storepos.Position) {
	n, answered := v.sim.network, false
	v.later(pullTimeout, func() {
		if !answered {
			v.enquiry.Answered(0)
		}
	})
	n.after(3*n.delay(v, peer), func() { // connect and request
		if !peer.running || !n.reaches(v, peer) {
			return
		}
		told := peer.state.DeparturesSince(v.sim.now, since)
		raw, err := cbor.Marshal(told)
		if err != nil {
			panic(err) // the daemon sends the same type
		}
		life := v.life
		n.transfer(peer, v, len(raw), func() {
			if !v.running || v.life != life {
				return
			}
			answered = true
			v.count.EnquiryBytes += len(raw)
			v.count.Enquiries++
			v.work(func() { v.state.NoteDepartures(v.sim.now, told) })
			v.enquiry.Answered(time.Duration(told.KnownForMs) * time.Millisecond)
		})
	})
}

// pullTimeout is how long a VM waits for the response of a peer.
const pullTimeout = 1200 * time.Millisecond

// pull requests an update from a peer and applies it.
func (v *vm) pull(peer *vm) {
	n, life := v.sim.network, v.life
	since := v.state.KnownPosition()
	ended := false
	v.later(pullTimeout, func() {
		if !ended {
			v.pulling = false
		}
	})
	n.after(3*n.delay(v, peer), func() { // connect and request
		if !peer.running || !n.reaches(v, peer) {
			return
		}
		var update feed.Update
		bytes := 0
		peer.work(func() { update, bytes = peer.updateSince(since) })
		n.transfer(peer, v, bytes, func() {
			if !v.running || v.life != life || ended || !n.reaches(v, peer) {
				return
			}
			ended = true
			v.work(func() {
				v.count.PullBytes += bytes
				v.state.Apply(v.sim.now, update)
				v.pulling = false
				v.fleet.AnnounceInZone()
			})
		})
	})
}

// updateSince returns an update and its size when encoded.
func (v *vm) updateSince(since storepos.Position) (feed.Update, int) {
	update := v.state.UpdateSince(v.sim.now, since)
	if len(update.Entries) > maxEncoded {
		return update, len(update.Entries) * entryBytes
	}
	raw, err := cbor.Marshal(update)
	if err != nil {
		panic(err) // the daemon sends the same type
	}
	return update, len(raw)
}

// maxEncoded is the number of entries up to which updates are encoded to learn their size. Larger
// ones, which mostly hold all targets, count entryBytes an entry.
const (
	maxEncoded = 200
	entryBytes = 120
)

// register writes the VM's record and reads those of the others.
func (v *vm) register() {
	s := v.sim.store
	v.later(s.callTime(1, v.self.Region), func() {
		s.addRecord(v.self)
		records := append([]fleet.Member(nil), s.records...)
		v.count.StoreBytes += len(records) * recordBytes
		v.later(s.callTime(pages(len(records), listPage), v.self.Region), func() {
			v.fleet.Add(records)
			v.fleet.Tick()
			v.recorded = true
		})
	})
}

// checkRead reads the store if that is due, and schedules the next check.
func (v *vm) checkRead() {
	age, known := v.state.Age(v.sim.now)
	view := feed.ReadView{Known: known, Age: age, Rank: v.fleet.ReadRank(v.failing), SinceBegun: v.sim.now.Sub(v.fleet.LastReadStart()), Interval: feed.ReadInterval,
		Uptime: v.sim.now.Sub(v.startedAt), Start: v.fleet.StartView()}
	view.Start.RecordsKnown = v.recorded
	wait := view.UntilRead()
	switch {
	case wait <= 0 && !v.reading:
		v.read()
	case !known || wait <= 0:
		v.later(pollInterval, v.checkRead)
	default:
		v.later(wait, v.checkRead)
	}
}

// read reads the store, and then checks when to do so again.
func (v *vm) read() {
	s, began := v.sim.store, v.sim.now
	if v.failing = v.turnedAway; v.failing {
		v.later(s.callTime(1, v.self.Region)+feed.RetryDelay(v.fleet.ReadRank(true)), v.checkRead)
		return
	}
	v.reading = true
	v.announce()
	since := v.state.KnownPosition()
	objects, page := len(s.targets), listPage
	if found, ok := s.since(since); ok {
		age, _ := v.state.Age(began)
		objects, page = len(found.Changes)+s.heartbeatsSince(age), changePage
	}
	v.count.StoreBytes += objects * targetBytes
	v.later(s.callTime(pages(objects, page), v.self.Region), func() {
		if found, ok := s.since(since); ok {
			v.state.ApplyTargetChanges(v.sim.now, found)
		} else {
			v.state.SetTargets(v.sim.now, platform.TargetList{Targets: append([]platform.Target(nil), s.targets...), At: s.at()})
		}
		v.state.SetEvacuations(v.sim.now, nil, s.at())
		v.state.ApplyConfigRead(v.sim.now, tableOf(s.config), s.at())
		v.state.MarkRead(began)
		v.reading = false
		v.announce()
		v.checkRead()
	})
}

func tableOf(version uint64) *routes.Table {
	return routes.NewTable(version, nil, nil, routes.Limits{})
}

// knowsConfig reports whether the VM knows that a version of the configuration exists.
func (v *vm) knowsConfig(version uint64) bool {
	newest, _, _ := v.state.Behind(v.sim.now)
	return newest >= version
}

// knowsTarget reports whether the VM knows a target, and whether as leaving.
func (v *vm) knowsTarget(name steering.Target) (known, leaving bool) {
	e, found := v.state.Target(name)
	return found, e.Leaving
}
