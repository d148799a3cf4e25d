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
	// sameZoneEntries is the maximum number of entry VMs that an answer lists from the place's own
	// zone.
	sameZoneEntries = 3
	// fallbackZones is the number of other zones that an answer lists after it, with one entry VM
	// each, for when the place's zone is unreachable.
	fallbackZones = 2
)

// NewPlan precomputes the answers for a snapshot and a list of members. It uses in.Snapshot.Blocks
// only if that is a [*Table]; with any other value every client has an unknown home.
func NewPlan(in PlanInput) *Plan {
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

// builder holds the intermediate state of NewPlan.
type builder struct {
	in          PlanInput
	plan        *Plan
	blocks      *Table
	places      []*routing.Place // the result of openPlaces, sorted by name
	zones       map[steering.Zone][]Member
	answerIndex map[answerKey]int32
	stops       stops
	// servingZones holds, for each service, the zones of the open places that have targets for it.
	servingZones map[steering.Service]map[steering.Zone]bool
}

type answerKey struct {
	place   steering.Place
	service steering.Service
}

// stops holds the entry VMs, zones and places whose planned stops have started, and the time at
// which the next one starts.
type stops struct {
	vms       map[steering.VM]bool
	zones     map[steering.Zone]bool
	places    map[steering.Place]bool
	nextStart time.Time
}

func startedStops(snapshot *routing.Snapshot, now time.Time) stops {
	s := stops{vms: map[steering.VM]bool{}, zones: map[steering.Zone]bool{}, places: map[steering.Place]bool{}}
	for _, stop := range snapshot.Stops {
		if !stop.Started(now) {
			if s.nextStart.IsZero() || stop.At.Before(s.nextStart) {
				s.nextStart = stop.At
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

func newBuilder(in PlanInput) *builder {
	b := &builder{
		in:          in,
		plan:        &Plan{version: in.Snapshot.Version, services: map[steering.Service]*servicePlan{}},
		zones:       map[steering.Zone][]Member{},
		answerIndex: map[answerKey]int32{},

		servingZones: map[steering.Service]map[steering.Zone]bool{},
		stops:        startedStops(in.Snapshot, in.Now),
	}
	b.plan.nextStart = b.stops.nextStart
	for _, m := range in.Members {
		if !b.stops.vms[m.VM] && !b.stops.zones[m.Zone] && m.Address != "" {
			b.zones[m.Zone] = append(b.zones[m.Zone], m)
		}
	}
	b.places = b.openPlaces()
	return b
}

// openPlaces returns the places that are not under a planned stop and whose zone has an entry VM,
// because targets are reached only through the entry VMs of their own zone. If no such zone has an
// entry VM, the member list is probably wrong, and all places without a stop are returned.
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

// service computes the answers to a service for callers of every home.
func (b *builder) service(service steering.Service) *servicePlan {
	plan := &servicePlan{}
	serving := b.serving(service)
	b.servingZones[service] = zonesOf(serving)
	switch {
	case len(serving) == 0 && b.hasTargets(service):
		plan.refusal = steering.ReasonStopped
		return plan
	case len(serving) == 0 || len(b.zones) == 0:
		plan.refusal = steering.ReasonNoTarget
		return plan
	}
	rules := b.shifts(service, serving)
	plan.unknownHome = b.home(service, &routing.Place{Zone: b.in.Zone, Region: b.in.Region}, serving, nil)
	for _, name := range b.blocks.places {
		home := plan.unknownHome
		if place, declared := b.in.Snapshot.Places[name]; declared {
			home = b.home(service, place, serving, rules)
		}
		plan.homes = append(plan.homes, home)
		plan.singleAnswer = append(plan.singleAnswer, home.singleAnswer())
	}
	return plan
}

// serving returns the open places that have a target for the service.
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

func (b *builder) hasTargets(service steering.Service) bool {
	for _, place := range b.in.Snapshot.Places {
		if place.Serves(service) {
			return true
		}
	}
	return false
}

// shiftRule is a shift of one service: the places it moves callers from, and the rule that selects
// the callers and their destination.
type shiftRule struct {
	from []steering.Place
	rule rule
}

// shifts returns the shift rules of a service: shifts of this service before shifts of all
// services, and each group sorted by name. A shift is skipped if none of its destination places
// serves the service.
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
			seed:      xxhash.Sum64String(shift.Name),
			threshold: uint64(shift.Moved) * unitsPerPercent,
			to:        b.spreadOver(service, to, shift.Name),
		}})
	}
	return rules
}

// home computes the answers for callers of one home. If the home does not serve the service, its
// callers are spread over the nearest places that do.
func (b *builder) home(service steering.Service, home *routing.Place, serving []*routing.Place, rules []shiftRule) *homePlan {
	plan := &homePlan{}
	for _, r := range rules {
		if slices.Contains(r.from, home.Name) {
			plan.rules = append(plan.rules, r.rule)
		}
	}
	plan.unshifted = b.spreadOver(service, nearest(home, serving), string(home.Name))
	return plan
}

// nearest returns the home itself if it serves, otherwise the serving places in its zone, otherwise
// those in its region, otherwise all serving places.
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

// spreadOver distributes callers over places by rendezvous hashing, so that adding or removing a
// place moves only the callers that this place gains or loses.
func (b *builder) spreadOver(service steering.Service, places []*routing.Place, salt string) *distribution {
	s := &distribution{}
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

// answer returns the index of the answer for a service at a place, and adds the answer to the plan
// on first use.
func (b *builder) answer(service steering.Service, place *routing.Place) int32 {
	key := answerKey{place.Name, service}
	if index, ok := b.answerIndex[key]; ok {
		return index
	}
	index := int32(len(b.plan.answers))
	b.answerIndex[key] = index
	b.plan.answers = append(b.plan.answers, Answer{
		Service: service,
		Place:   place.Name,
		Entries: b.entries(service, place),
		TTL:     b.in.TTL,
		Version: b.in.Snapshot.Version,
	})
	return index
}

// entries returns the entry VMs of an answer in order of preference: usable ones of the place's
// zone, with the owner of the pool first; then one usable VM from each of the nearest other zones.
// Suspect VMs of the place's zone are appended if the zone has no live one, and suspect VMs of
// other zones if the list would otherwise be empty.
func (b *builder) entries(service steering.Service, place *routing.Place) []Entry {
	entries := b.topEntries(service, place.Name, b.zones[place.Zone], Live, sameZoneEntries)
	inZone := len(entries)
	for _, zone := range b.fallbackZones(service, place) {
		if len(entries) >= inZone+fallbackZones {
			break
		}
		entries = append(entries, b.topEntries(service, place.Name, b.zones[zone], Live, 1)...)
	}
	if inZone == 0 {
		entries = append(entries, b.topEntries(service, place.Name, b.zones[place.Zone], Suspect, sameZoneEntries)...)
	}
	if len(entries) == 0 {
		for _, zone := range b.fallbackZones(service, place) {
			entries = append(entries, b.topEntries(service, place.Name, b.zones[zone], Suspect, 1)...)
		}
	}
	return entries
}

// topEntries returns up to n members in the given state, in the order in which the pool's ownership
// ranks them.
func (b *builder) topEntries(service steering.Service, place steering.Place, members []Member, state MemberState, n int) []Entry {
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

// fallbackZones returns the zones other than the place's own. Zones that serve the service come
// first, and within each group zones of the place's region. Zones of equal rank are ordered by a
// hash that depends on the place, so that the callers of a failed zone are spread over several
// zones instead of all moving to the same one.
func (b *builder) fallbackZones(service steering.Service, place *routing.Place) []steering.Zone {
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
