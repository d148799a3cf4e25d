package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/fairshare"
)

// Guards against a division that gives out more than the room, leaves room unused, ignores weights or
// gives somebody less than an equal part while others get more.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.Float64Range(0, 1000).Draw(t, "room")
		demands := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fairshare.Demand {
			return fairshare.Demand{Rate: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0.01, 300)).Draw(t, "rate"),
				Weight: rapid.Float64Range(0.1, 100).Draw(t, "weight"), Count: rapid.IntRange(0, 3).Draw(t, "count")}
		}), 1, 40).Draw(t, "demands")
		asked, given, workspaces := 0.0, 0.0, 0.0
		shares := fairshare.Divide(room, demands)
		for i, d := range demands {
			asked, given = asked+d.Rate, given+shares[i].Rate
			if d.Rate > 0 {
				workspaces += float64(max(d.Count, 1))
			}
		}
		close := 1e-9 * (1 + asked)
		assert.Assert(t, math.Abs(given-math.Min(room, asked)) <= close, "%f given of %f, %f asked", given, room, asked)
		level := math.Inf(1) // the highest rate per weight of those that want more
		for i, d := range demands {
			count := float64(max(d.Count, 1))
			got := shares[i].Rate
			assert.Assert(t, got <= d.Rate+close && got >= math.Min(d.Rate, room/math.Max(workspaces, 1)*count)-close, "%f of %f", got, d.Rate)
			if got < d.Rate-close {
				level = math.Min(level, got/(d.Weight*count))
			}
		}
		for i, d := range demands {
			count := float64(max(d.Count, 1))
			assert.Assert(t, shares[i].Rate <= math.Max(level*d.Weight, room/math.Max(workspaces, 1))*count+close, "%v above the level of those that want more", shares[i])
		}
	})
}

// Guards against requests that are held back while their service is not short, requests of a workspace
// within its share that are refused, and a Retry-After out of bounds.
func TestAdmitHoldsBackOnlyBeyondTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, now := fairshare.NewDivider(1), time.Unix(1000, 0)
		flood := rapid.IntRange(2, 20).Draw(t, "flood")
		others := rapid.IntRange(1, 8).Draw(t, "others")
		short := rapid.SliceOfN(rapid.Bool(), 40, 40).Draw(t, "short")
		lastShort, held, steps := time.Time{}, 0, 0
		for tick := range 400 { // of 20 ms; each other workspace sends 5 requests a second
			now = now.Add(20 * time.Millisecond)
			if short[tick/10] {
				d.RecordShort(now, "clips", 0)
				lastShort = now
			}
			for n := range others + flood {
				r := fairshare.Request{Service: "clips", Workspace: "flood"}
				if n < others {
					r.Workspace = steering.Workspace(fmt.Sprint("w", n))
				}
				if (tick+n)%10 != 0 {
					continue
				}
				d.Record(now, r)
				ok, retryAfter := d.Admit(now, r)
				if ok {
					d.RecordServed(now, r)
				}
				assert.Assert(t, ok || now.Sub(lastShort) < time.Second, "held back without need")
				assert.Assert(t, ok || n >= others, "%s is within its share", r.Workspace)
				assert.Assert(t, ok || retryAfter >= 100*time.Millisecond && retryAfter <= 2*time.Second, "%v", retryAfter)
				if steps++; !ok {
					held++
				}
			}
		}
		assert.Assert(t, held < steps)
	})
}
