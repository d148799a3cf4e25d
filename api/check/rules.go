package check

import (
	"fmt"
	"net/netip"
	"strings"

	"heatherlock/api/oas"
)

// rules returns the problems that span several objects.
func (s Set) rules(facts Facts) Problems {
	problems := Problems{}
	index := indexPlaces(s)
	s.checkHosts(&problems)
	s.checkTargets(&problems, index)
	s.checkBlockPlaces(&problems)
	s.checkShifts(&problems, index)
	s.checkCaps(&problems, facts)
	s.checkStops(&problems, index, facts)
	return problems
}

func (s Set) reportOn(problems *Problems, o oas.Object) report {
	return report{RefOf(o), problems}
}

// checkHosts finds hosts that two services claim.
func (s Set) checkHosts(problems *Problems) {
	owner := map[string]string{}
	for _, o := range s.of(oas.KindService) {
		name := string(o.Service.Metadata.Name)
		for i, host := range o.Service.Spec.Hosts {
			key := strings.ToLower(host)
			if other, taken := owner[key]; taken && other != name {
				s.reportOn(problems, o).invalid(fmt.Sprintf("spec.hosts[%d]", i), "remove it from one of the two", "host %q already belongs to Service/%s", short(host), other)
				continue
			}
			owner[key] = name
		}
	}
}

// checkTargets finds targets of unknown services, and names and addresses that
// two places share.
func (s Set) checkTargets(problems *Problems, index placeIndex) {
	names, addresses := map[string]string{}, map[string]string{}
	for _, o := range s.of(oas.KindPlace) {
		place := string(o.Place.Metadata.Name)
		r := s.reportOn(problems, o)
		if other := index.regionOf[o.Place.Spec.Zone]; other != o.Place.Spec.Region {
			r.invalid("spec.region", "give every place of a zone the same region", "zone %q is in region %q by another place", short(o.Place.Spec.Zone), short(other))
		}
		for i, target := range o.Place.Spec.Targets {
			field := fmt.Sprintf("spec.targets[%d]", i)
			if !s.has(oas.KindService, target.Service) {
				r.invalid(field+".service", "apply the Service, or correct the name", "there is no Service/%s", short(target.Service))
			}
			if other, taken := names[target.Name]; taken && other != place {
				r.invalid(field+".name", "give each target a name of its own", "%q is also a target of Place/%s", short(target.Name), other)
			}
			names[target.Name] = place
			if other, taken := addresses[target.Address]; taken && other != place {
				r.invalid(field+".address", "remove one of the two: its slots would be counted twice", "%s is also a target's address in Place/%s", short(target.Address), other)
			}
			addresses[target.Address] = place
		}
	}
}

// checkBlockPlaces finds blocks of unknown places and blocks listed in two objects.
func (s Set) checkBlockPlaces(problems *Problems) {
	owner := map[netip.Prefix]string{}
	for _, o := range s.of(oas.KindClientBlocks) {
		name := string(o.ClientBlocks.Metadata.Name)
		r := s.reportOn(problems, o)
		for i, block := range o.ClientBlocks.Spec.Blocks {
			field := fmt.Sprintf("spec.blocks[%d]", i)
			if !s.has(oas.KindPlace, block.Place) {
				r.invalid(field+".place", "apply the Place, or correct the name", "there is no Place/%s", short(block.Place))
			}
			prefix, err := netip.ParsePrefix(block.Prefix)
			if err != nil {
				continue
			}
			if other, taken := owner[prefix.Masked()]; taken && other != name {
				r.invalid(field+".prefix", "remove it from one of the two", "%s is also in ClientBlocks/%s", prefix, other)
				continue
			}
			owner[prefix.Masked()] = name
		}
	}
}

// checkCaps finds caps that bind nothing or hold back what is already promised.
func (s Set) checkCaps(problems *Problems, facts Facts) {
	for _, o := range s.of(oas.KindCap) {
		r := s.reportOn(problems, o)
		spec := o.Cap.Spec
		shift, ok := s.Get(Ref{oas.KindShift, spec.Shift})
		if !ok {
			r.invalid("spec.shift", "apply the Shift first, or correct the name; to remove a shift, delete its caps first", "there is no Shift/%s", short(spec.Shift))
			continue
		}
		if spec.Requests == 0 && shift.Shift.Spec.Percent > 0 {
			r.breaks("spec.requests", "raise the cap, or set the shift's percent to 0", "a cap of 0 refuses every caller that Shift/%s moves", spec.Shift)
		}
		if used := facts.PermitsInUse[string(o.Cap.Metadata.Name)]; spec.Requests < used {
			r.breaks("spec.requests", "lower the shift's percent first and wait, or override", "%d requests are admitted now, more than the cap of %d", used, spec.Requests)
		}
	}
}

// lostCap finds shifts that would go on moving callers without their last cap.
// A shift that was set to 0 percent or deleted goes back step by step, and is
// bound by its cap until it is there.
func lostCap(own Ref, before, after Set, facts Facts) Problems {
	removed, ok := before.Get(own)
	if !ok || own.Kind != oas.KindCap {
		return nil
	}
	name := removed.Cap.Spec.Shift
	shift, exists := after.Get(Ref{oas.KindShift, name})
	moving := facts.MovedPercent[name] > 0 || (exists && shift.Shift.Spec.Percent > 0)
	for _, other := range after.of(oas.KindCap) {
		if other.Cap.Spec.Shift == name {
			return nil
		}
	}
	if !moving {
		return nil
	}
	problems := Problems{}
	report{own, &problems}.breaks("spec.shift", "set the shift's percent to 0 and wait until it is ShiftComplete, or override", "Shift/%s would go on moving callers without a cap", name)
	return problems
}

// lostTargets finds services whose last target goes away with the change.
func lostTargets(own Ref, before, after Set) Problems {
	problems := Problems{}
	had, has := before.targetsByService(), after.targetsByService()
	for _, o := range after.of(oas.KindService) {
		name := string(o.Service.Metadata.Name)
		if had[name] > 0 && has[name] == 0 {
			report{own, &problems}.breaks("spec.targets", "keep or add a target of the service elsewhere first", "Service/%s would be left without a target", name)
		}
	}
	return problems
}

func (s Set) targetsByService() map[string]int {
	count := map[string]int{}
	for _, o := range s.of(oas.KindPlace) {
		for _, target := range o.Place.Spec.Targets {
			count[target.Service]++
		}
	}
	return count
}
