package operator

import (
	"cmp"
	"context"
	"slices"

	"heatherlock/api/oas"
)

// GetStatus implements oas.Handler.
func (s *Server) GetStatus(context.Context) (*oas.DeploymentStatus, error) {
	return s.deploymentStatus(), nil
}

// deploymentStatus returns the state of the whole system as this entry VM currently knows it.
func (s *Server) deploymentStatus() *oas.DeploymentStatus {
	d := &oas.DeploymentStatus{
		AnsweredBy:        s.vm,
		ConfigVersion:     s.runtime.ConfigVersion(),
		PlatformReachable: s.runtime.PlatformReachable(),
		Members:           []oas.MemberStatus{},
		Zones:             []oas.ZoneStatus{},
		Places:            []oas.PlaceStatus{},
	}
	zoneVersion := map[string]int64{}
	for _, z := range s.runtime.Zones() {
		d.Zones = append(d.Zones, zoneStatus(z))
		zoneVersion[z.Zone] = z.ConfigVersion
	}
	for _, m := range s.runtime.Members() {
		// Every member of a zone has at least the zone's lowest version. That version can be
		// newer than the member's own entry, because the state of a single remote member is
		// distributed less often.
		m.ConfigVersion = max(m.ConfigVersion, zoneVersion[m.Zone])
		d.Members = append(d.Members, memberStatus(m))
	}
	d.Places = placeStatuses(s.runtime.Pools())
	slices.SortFunc(d.Members, func(a, b oas.MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM))
	})
	slices.SortFunc(d.Zones, func(a, b oas.ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return d
}

func memberStatus(m MemberFact) oas.MemberStatus {
	return oas.MemberStatus{
		VM: m.VM, Zone: m.Zone, State: oas.MemberStatusState(m.State),
		AgeMs: m.Age.Milliseconds(), ConfigVersion: m.ConfigVersion,
		Incarnation:     optional(m.Incarnation),
		OperatorAddress: optional(m.OperatorAddress),
	}
}

func optional(text string) oas.OptString {
	if text == "" {
		return oas.OptString{}
	}
	return oas.NewOptString(text)
}

func zoneStatus(z ZoneFact) oas.ZoneStatus {
	status := oas.ZoneStatus{Zone: z.Zone, Region: z.Region, ConfigVersion: z.ConfigVersion, AgeMs: z.Age.Milliseconds()}
	if !z.CutOffSince.IsZero() {
		status.CutOffSince = oas.NewOptDateTime(z.CutOffSince)
	}
	return status
}

// placeStatuses groups pools by place. Places are sorted by name, and the pools of a place by
// service.
func placeStatuses(pools []PoolFact) []oas.PlaceStatus {
	places := []oas.PlaceStatus{}
	pools = slices.Clone(pools)
	slices.SortFunc(pools, func(a, b PoolFact) int {
		return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Service, b.Service))
	})
	for _, p := range pools {
		if len(places) == 0 || places[len(places)-1].Place != p.Place {
			places = append(places, oas.PlaceStatus{Place: p.Place, Zone: p.Zone, Region: p.Region})
		}
		last := &places[len(places)-1]
		last.Pools = append(last.Pools, oas.PoolStatus{
			Service: p.Service, Slots: p.Slots, HeldBack: oas.NewOptInt(p.HeldBack), InFlight: p.InFlight, Queued: p.Queued, AgeMs: p.Age.Milliseconds(),
		})
	}
	return places
}
