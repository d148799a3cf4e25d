package node

import (
	"context"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// The types in this file stand in for parts that are not in the tree yet. Each
// keeps its promise by refusing more than the part would.

// closedCaps refuses all work that a cap binds, since it holds no permits.
type closedCaps struct {
	configs seam.Configs
}

func (c closedCaps) Admit(_ context.Context, service steering.Service, home, place steering.Place) (seam.CapPermit, error) {
	s := c.configs.Snapshot()
	for _, limit := range s.Caps {
		shift := s.Shifts[limit.Shift]
		if shift == nil || shift.Service != "" && shift.Service != service {
			continue
		}
		if contains(shift.From, home) && contains(shift.To, place) {
			return nil, steering.Refuse(steering.ReasonCapReached, limit.Window, "cap "+limit.Name+" has no permits here")
		}
	}
	return freePermit{}, nil
}

func contains(places []steering.Place, place steering.Place) bool {
	for _, one := range places {
		if one == place {
			return true
		}
	}
	return false
}

type freePermit struct{}

func (freePermit) Done(bool) {}
