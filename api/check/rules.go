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

// checkHosts finds hosts that are listed by two services.
func (s Set) checkHosts(problems *Problems) {
	owner := map[string]string{}
	for _, o := range s.of(oas.KindService) {
		name := string(o.Service.Metadata.Name)
		for i, host := range o.Service.Spec.Hosts {
			key := strings.ToLower(host)
			if other, taken := owner[key]; taken && other != name {
				s.reportOn(problems, o).invalid(fmt.Sprintf("spec.hosts[%d]", i), "remove it from one of the two", "host %q already belongs to Service/%s", truncate(host), other)
				continue
			}
			owner[key] = name
		}
	}
}

// checkTargets finds zones with places in two regions, targets of unknown services, and target
// names and addresses that are used in two places.
func (s Set) checkTargets(problems *Problems, index placeIndex) {
	names, addresses := map[string]string{}, map[string]string{}
	for _, o := range s.of(oas.KindPlace) {
		place := string(o.Place.Metadata.Name)
		r := s.reportOn(problems, o)
		if other := index.regionOf[o.Place.Spec.Zone]; other != o.Place.Spec.Region {
			r.invalid("spec.region", "give every place of a zone the same region", "zone %q is in region %q by another place", truncate(o.Place.Spec.Zone), truncate(other))
		}
		for i, target := range o.Place.Spec.Targets {
			field := fmt.Sprintf("spec.targets[%d]", i)
			if !s.has(oas.KindService, target.Service) {
				r.invalid(field+".service", "apply the Service, or correct the name", "there is no Service/%s", truncate(target.Service))
			}
			if other, taken := names[target.Name]; taken && other != place {
				r.invalid(field+".name", "give each target a name of its own", "%q is also a target of Place/%s", truncate(target.Name), other)
			}
			names[target.Name] = place
			if other, taken := addresses[target.Address]; taken && other != place {
				r.invalid(field+".address", "remove one of the two: its slots would be counted twice", "%s is also a target's address in Place/%s", truncate(target.Address), other)
			}
			addresses[target.Address] = place
		}
	}
}

// checkBlockPlaces finds client blocks of unknown places, and client blocks that are listed in two
// objects.
func (s Set) checkBlockPlaces(problems *Problems) {
	owner := map[netip.Prefix]string{}
	for _, o := range s.of(oas.KindClientBlocks) {
		name := string(o.ClientBlocks.Metadata.Name)
		r := s.reportOn(problems, o)
		for i, block := range o.ClientBlocks.Spec.Blocks {
			field := fmt.Sprintf("spec.blocks[%d]", i)
			if !s.has(oas.KindPlace, block.Place) {
				r.invalid(field+".place", "apply the Place, or correct the name", "there is no Place/%s", truncate(block.Place))
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

// checkCaps finds caps of unknown shifts, caps of 0 on shifts that move callers, and caps that are
// lower than the number of permits in use.
func (s Set) checkCaps(problems *Problems, facts Facts) {
	for _, o := range s.of(oas.KindCap) {
		r := s.reportOn(problems, o)
		spec := o.Cap.Spec
		shift, ok := s.Get(Ref{oas.KindShift, spec.Shift})
		if !ok {
			r.invalid("spec.shift", "apply the Shift first, or correct the name; to remove a shift, delete its caps first", "there is no Shift/%s", truncate(spec.Shift))
			continue
		}
		if spec.Requests == 0 && shift.Shift.Spec.Percent > 0 {
			r.breaksPromise("spec.requests", "raise the cap, or set the shift's percent to 0", "a cap of 0 refuses every caller that Shift/%s moves", spec.Shift)
		}
		if used := facts.PermitsInUse[string(o.Cap.Metadata.Name)]; spec.Requests < used {
			r.breaksPromise("spec.requests", "lower the shift's percent first and wait, or override", "%d requests are admitted now, more than the cap of %d", used, spec.Requests)
		}
	}
}

// lostCap finds shifts that would move callers without a cap if the cap own were deleted. A shift
// that was set to 0 percent or deleted moves its callers back in steps, so it needs a cap until
// none are moved any more.
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
	report{own, &problems}.breaksPromise("spec.shift", "set the shift's percent to 0 and wait until it is ShiftComplete, or override", "Shift/%s would go on moving callers without a cap", name)
	return problems
}

// lostTargets finds services whose last target the change removes.
func lostTargets(own Ref, before, after Set) Problems {
	problems := Problems{}
	had, has := before.targetsByService(), after.targetsByService()
	for _, o := range after.of(oas.KindService) {
		name := string(o.Service.Metadata.Name)
		if had[name] > 0 && has[name] == 0 {
			report{own, &problems}.breaksPromise("spec.targets", "keep or add a target of the service elsewhere first", "Service/%s would be left without a target", name)
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
