package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is the rate of requests of a workspace.
type Demand struct {
	Workspace ID
	Rate      float64
	// Weight is compared with that of other workspaces; 1 if it is not positive.
	Weight float64
	// Count is the number of workspaces of equal rate that the demand sums up; 1 if it is not positive.
	Count int
}

// Share is the part of the room that a workspace gets.
type Share struct {
	Workspace ID
	Rate      float64
}

// Divide divides room between demands and returns the shares in the order of the demands.
//
// A demand of up to room divided by the number of workspaces is met in full. What is left is divided
// between the others in proportion to their weights, except that nobody gets less than that equal part
// or more than it asks for. The shares add up to the room, or to all demands if these are less.
func Divide(room float64, demands []Demand) []Share {
	shares := make([]Share, len(demands))
	asked, workspaces := 0.0, 0.0
	for i, d := range demands {
		shares[i] = Share{d.Workspace, d.rate()}
		if d.rate() > 0 {
			asked += d.rate()
			workspaces += d.count()
		}
	}
	room = math.Max(room, 0)
	if asked <= room {
		return shares
	}
	equal := room / workspaces
	level := fillLevel(room, equal, demands)
	for i, d := range demands {
		shares[i].Rate = math.Min(d.rate(), math.Max(equal*d.count(), d.weight()*d.count()*level))
	}
	return shares
}

func (d Demand) rate() float64 { return math.Max(d.Rate, 0) }

func (d Demand) count() float64 { return float64(max(d.Count, 1)) }

func (d Demand) weight() float64 {
	if d.Weight > 0 {
		return d.Weight
	}
	return 1
}

// slopeChange is a level from which on the sum of all shares grows faster or slower with the level.
type slopeChange struct{ level, by float64 }

// fillLevel returns the rate per weight at which the shares add up to room. The demands exceed it.
func fillLevel(room, equal float64, demands []Demand) float64 {
	left := room
	changes := make([]slopeChange, 0, 2*len(demands))
	for _, d := range demands {
		floor := equal * d.count()
		left -= math.Min(d.rate(), floor)
		if d.rate() > floor {
			slope := d.weight() * d.count()
			changes = append(changes, slopeChange{floor / slope, slope}, slopeChange{d.rate() / slope, -slope})
		}
	}
	slices.SortFunc(changes, func(a, b slopeChange) int { return cmp.Compare(a.level, b.level) })
	level, slope := 0.0, 0.0
	for _, c := range changes {
		if slope > 0 && slope*(c.level-level) >= left {
			return level + left/slope
		}
		if slope > 0 {
			left -= slope * (c.level - level)
		}
		level, slope = c.level, slope+c.by
	}
	return level
}
