package lookup

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"heatherlock/steering"
	"heatherlock/steering/ownership"
	"heatherlock/steering/routing"
)

const (
	// ownZoneEntries is the number of entry VMs named of the place's zone.
	ownZoneEntries = 3
	// otherZones is the number of other zones named after it, one entry VM
	// each, for when the zone cannot be reached.
	otherZones = 2
)

// NewPlan makes the answers for a snapshot and the members.
func NewPlan(in Input) *Plan {
	if in.TTL == 0 {
		in.TTL = DefaultTTL
	}
	b := newBuilder(in)
	b.blocks, _ = in.Snapshot.Blocks.(*Table)
	if b.blocks == nil {
		b.blocks = emptyTable()
	}
	b.plan.blocks = b.blocks
	for service := range in.Snapshot.Services {
		b.plan.services[service] = b.service(service)
	}
	return b.plan
}

// builder collects the answers of a plan.
type builder struct {
	in     Input
	plan   *Plan
	blocks *Table
	places []*routing.Place // open ones, by name
	zones  map[steering.Zone][]Member
	made   map[answerKey]int32
	stops  stops
	// servingZones are the zones with an open place that serves a service.
	servingZones map[steering.Service]map[steering.Zone]bool
}

type answerKey struct {
	place   steering.Place
	service steering.Service
}

// stops are the subjects of the planned stops that have begun.
type stops struct {
	vms    map[steering.VM]bool
	zones  map[steering.Zone]bool
	places map[steering.Place]bool
	next   time.Time
}

func begunStops(snapshot *routing.Snapshot, now time.Time) stops {
	s := stops{vms: map[steering.VM]bool{}, zones: map[steering.Zone]bool{}, places: map[steering.Place]bool{}}
	for _, stop := range snapshot.Stops {
		if !stop.Begun(now) {
			if s.next.IsZero() || stop.At.Before(s.next) {
				s.next = stop.At
			}
			continue
		}
		switch stop.Kind {
		case routing.StopEntryVM:
			s.vms[steering.VM(stop.Subject)] = true
		case routing.StopZone:
			s.zones[steering.Zone(stop.Subject)] = true
		case routing.StopPlace:
			s.places[steering.Place(stop.Subject)] = true
		}
	}
	return s
}

func newBuilder(in Input) *builder {
	b := &builder{
		in:    in,
		plan:  &Plan{version: in.Snapshot.Version, services: map[steering.Service]*servicePlan{}},
		zones: map[steering.Zone][]Member{},
		made:  map[answerKey]int32{},

		servingZones: map[steering.Service]map[steering.Zone]bool{},
		stops:        begunStops(in.Snapshot, in.Now),
	}
	b.plan.next = b.stops.next
	for _, m := range in.Members {
		if !b.stops.vms[m.VM] && !b.stops.zones[m.Zone] && m.Address != "" {
			b.zones[m.Zone] = append(b.zones[m.Zone], m)
		}
	}
	b.places = b.openPlaces()
	return b
}

// openPlaces returns the places without a stop whose zone has an entry VM:
// targets are reached through their own zone's entry VMs only. Where no zone
// has one, the view of the members is in doubt and every place counts.
func (b *builder) openPlaces() []*routing.Place {
	var open, reachable []*routing.Place
	for _, name := range slices.Sorted(maps.Keys(b.in.Snapshot.Places)) {
		place := b.in.Snapshot.Places[name]
		if b.stops.places[name] || b.stops.zones[place.Zone] {
			continue
		}
		open = append(open, place)
		if len(b.zones[place.Zone]) > 0 {
			reachable = append(reachable, place)
		}
	}
	if len(reachable) == 0 {
		return open
	}
	return reachable
}

// service makes the choices for every home.
func (b *builder) service(service steering.Service) *servicePlan {
	plan := &servicePlan{}
	serving := b.serving(service)
	b.servingZones[service] = zonesOf(serving)
	switch {
	case len(serving) == 0 && b.servedAtAll(service):
		plan.refuse = steering.ReasonStopped
		return plan
	case len(serving) == 0 || len(b.zones) == 0:
		plan.refuse = steering.ReasonNoTarget
		return plan
	}
	rules := b.shifts(service, serving)
	plan.nowhere = b.home(service, &routing.Place{Zone: b.in.Zone, Region: b.in.Region}, serving, nil)
	for _, name := range b.blocks.places {
		home := plan.nowhere
		if place, declared := b.in.Snapshot.Places[name]; declared {
			home = b.home(service, place, serving, rules)
		}
		plan.homes = append(plan.homes, home)
		plan.simple = append(plan.simple, home.simple())
	}
	return plan
}

// serving returns the places that have a target for the service and no stop.
func (b *builder) serving(service steering.Service) []*routing.Place {
	var serving []*routing.Place
	for _, place := range b.places {
		if place.Serves(service) {
			serving = append(serving, place)
		}
	}
	return serving
}

func zonesOf(places []*routing.Place) map[steering.Zone]bool {
	zones := map[steering.Zone]bool{}
	for _, place := range places {
		zones[place.Zone] = true
	}
	return zones
}

func (b *builder) servedAtAll(service steering.Service) bool {
	for _, place := range b.in.Snapshot.Places {
		if place.Serves(service) {
			return true
		}
	}
	return false
}

// shiftRule is a shift with the answers it moves callers to.
type shiftRule struct {
	from []steering.Place
	rule rule
}

// shifts returns the rules that apply to a service: its own shifts before
// those of every service, then by name. A shift none of whose places can serve
// moves nobody.
func (b *builder) shifts(service steering.Service, serving []*routing.Place) []shiftRule {
	var shifts []*routing.Shift
	for _, shift := range b.in.Snapshot.Shifts {
		if shift.Moved > 0 && (shift.Service == service || shift.Service == "") {
			shifts = append(shifts, shift)
		}
	}
	slices.SortFunc(shifts, func(x, y *routing.Shift) int {
		if (x.Service == "") != (y.Service == "") {
			return cmp.Compare(y.Service, x.Service)
		}
		return cmp.Compare(x.Name, y.Name)
	})
	var rules []shiftRule
	for _, shift := range shifts {
		var to []*routing.Place
		for _, place := range serving {
			if slices.Contains(shift.To, place.Name) {
				to = append(to, place)
			}
		}
		if len(to) == 0 {
			continue
		}
		rules = append(rules, shiftRule{from: shift.From, rule: rule{
			seed:  xxhash.Sum64String(shift.Name),
			below: uint64(shift.Moved) * unitsPerPercent,
			to:    b.over(service, to, shift.Name),
		}})
	}
	return rules
}

// home makes the choice for callers of one home. Where the home cannot serve,
// its callers are spread over the nearest places that can.
func (b *builder) home(service steering.Service, home *routing.Place, serving []*routing.Place, rules []shiftRule) *homePlan {
	plan := &homePlan{}
	for _, r := range rules {
		if slices.Contains(r.from, home.Name) {
			plan.rules = append(plan.rules, r.rule)
		}
	}
	plan.own = b.over(service, nearest(home, serving), string(home.Name))
	return plan
}

// nearest returns the home itself, else the places of its zone, else those of
// its region, else all.
func nearest(home *routing.Place, serving []*routing.Place) []*routing.Place {
	for _, near := range []func(*routing.Place) bool{
		func(p *routing.Place) bool { return p.Name == home.Name },
		func(p *routing.Place) bool { return p.Zone == home.Zone },
		func(p *routing.Place) bool { return p.Region == home.Region },
	} {
		var found []*routing.Place
		for _, place := range serving {
			if near(place) {
				found = append(found, place)
			}
		}
		if len(found) > 0 {
			return found
		}
	}
	return serving
}

// over spreads callers over places by rendezvous hashing, so that a place that
// comes or goes moves only the callers it gains or loses.
func (b *builder) over(service steering.Service, places []*routing.Place, salt string) *spread {
	s := &spread{}
	if len(places) == 1 {
		only := b.answer(service, places[0])
		for i := range s.answers {
			s.answers[i] = only
		}
		return s
	}
	byName := map[string]*routing.Place{}
	names := make([]string, 0, len(places))
	for _, place := range places {
		byName[string(place.Name)] = place
		names = append(names, string(place.Name))
	}
	choice := rendezvous.New(names, xxhash.Sum64String)
	for i := range s.answers {
		name := choice.Lookup(salt + "/" + strconv.Itoa(i))
		s.answers[i] = b.answer(service, byName[name])
	}
	return s
}

// answer returns the index of the answer for a service at a place.
func (b *builder) answer(service steering.Service, place *routing.Place) int32 {
	key := answerKey{place.Name, service}
	if index, ok := b.made[key]; ok {
		return index
	}
	index := int32(len(b.plan.answers))
	b.made[key] = index
	b.plan.answers = append(b.plan.answers, Answer{
		Service: service,
		Place:   place.Name,
		Entries: b.entries(service, place),
		TTL:     b.in.TTL,
		Version: b.in.Snapshot.Version,
	})
	return index
}

// entries orders the entry VMs: those of the place's zone with the pool's
// owner first, then one each of the nearest other zones, and last, where the
// zone has none in good standing, those in doubt.
func (b *builder) entries(service steering.Service, place *routing.Place) []Entry {
	entries := b.first(service, place.Name, b.zones[place.Zone], Usable, ownZoneEntries)
	inZone := len(entries)
	for _, zone := range b.otherZones(service, place) {
		if len(entries) >= inZone+otherZones {
			break
		}
		entries = append(entries, b.first(service, place.Name, b.zones[zone], Usable, 1)...)
	}
	if inZone == 0 {
		entries = append(entries, b.first(service, place.Name, b.zones[place.Zone], Doubtful, ownZoneEntries)...)
	}
	if len(entries) == 0 {
		for _, zone := range b.otherZones(service, place) {
			entries = append(entries, b.first(service, place.Name, b.zones[zone], Doubtful, 1)...)
		}
	}
	return entries
}

// first returns the n entry VMs of the state with the strongest claim.
func (b *builder) first(service steering.Service, place steering.Place, members []Member, state MemberState, n int) []Entry {
	byName := map[steering.VM]Member{}
	var vms []steering.VM
	for _, m := range members {
		if m.State == state {
			byName[m.VM] = m
			vms = append(vms, m.VM)
		}
	}
	var entries []Entry
	for _, vm := range ownership.First(place, service, vms, n) {
		m := byName[vm]
		entries = append(entries, Entry{VM: m.VM, Address: m.Address, Incarnation: m.Incarnation})
	}
	return entries
}

// otherZones returns the zones to fall back to: those that serve the service
// themselves before others, then those of the same region before others; equals
// in an order of the place's own, so that a lost zone's callers do not all meet
// in one.
func (b *builder) otherZones(service steering.Service, place *routing.Place) []steering.Zone {
	serves := b.servingZones[service]
	type candidate struct {
		zone steering.Zone
		rank int
		hash uint64
	}
	var candidates []candidate
	for zone, members := range b.zones {
		if zone == place.Zone {
			continue
		}
		rank := 0
		if !serves[zone] {
			rank += 2
		}
		if members[0].Region != place.Region {
			rank++
		}
		candidates = append(candidates, candidate{zone, rank, xxhash.Sum64String(string(place.Name) + "/" + string(zone))})
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), cmp.Compare(x.hash, y.hash), cmp.Compare(x.zone, y.zone))
	})
	zones := make([]steering.Zone, 0, len(candidates))
	for _, c := range candidates {
		zones = append(zones, c.zone)
	}
	return zones
}
