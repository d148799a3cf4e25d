package departure_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/departure"
)

// Guards against a departure that is lost because of the order in which words of a target arrive.
func TestLatestDepartureIsKeptInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []departure.Departure
		for range rapid.IntRange(1, 8).Draw(t, "departures") {
			all = append(all, departure.Departure{Target: "a", Generation: steering.Generation(rapid.IntRange(0, 2).Draw(t, "generation")), Beat: rapid.Int64Range(0, 3).Draw(t, "beat"), Gone: rapid.Bool().Draw(t, "gone")})
		}
		a, b := departure.NewLedger(), departure.NewLedger()
		for _, d := range all {
			a.Note(d)
		}
		for _, d := range rapid.Permutation(all).Draw(t, "order") {
			b.Note(d)
		}
		known, _ := a.Of("a")
		other, _ := b.Of("a")
		assert.Equal(t, known, other)
		for _, d := range all {
			assert.Assert(t, a.Holds("a", d.Word()))
		}
		assert.Assert(t, !a.Holds("a", departure.Word{Generation: known.Generation, Beat: known.Beat + 1}))
	})
}

// Guards against a VM that asks those that were cut off with it, asks all of a large fleet, or asks nobody.
func TestVMsThatComeBackAreAskedFirst(t *testing.T) {
	const silence = 4500 * time.Millisecond
	now := time.Unix(1000, 0)
	e := departure.NewEnquiry(silence)
	next := func() steering.VM {
		vm, _ := e.Next(now)
		return vm
	}
	e.Heard(now, "fellow")
	e.Heard(now, "other")
	assert.Equal(t, next(), steering.VM(""), "it was not out of touch")
	for range 10 {
		now = now.Add(time.Second)
		e.Heard(now, "fellow")
	}
	e.Heard(now, "other") // before it knows that it was out of touch
	e.Begin(now, 9*time.Second)
	assert.Equal(t, next(), steering.VM("other"))
	e.Heard(now, "another")
	assert.Equal(t, next(), steering.VM(""), "one at a time")
	e.Answered(time.Second)
	assert.Equal(t, next(), steering.VM("another"), "the first one knows too little")
	e.Answered(0)
	assert.Equal(t, next(), steering.VM(""), "the others were cut off as well")
	now = now.Add(time.Second)
	assert.Equal(t, next(), steering.VM("fellow"), "it may have been told")
	e.Answered(time.Minute)
	e.Heard(now, "third")
	assert.Assert(t, next() == "" && !e.Active(now), "one that knows has told")

	e.Begin(now, 0)
	asked := 0
	for i := range 100 {
		now = now.Add(departure.PollInterval / 10)
		e.Heard(now, steering.VM(fmt.Sprint("new-", i)))
		if next() != "" {
			asked++
			e.Answered(0)
		}
	}
	assert.Assert(t, asked > 0 && asked < 10, "%d asked", asked)
}

// Guards against a VM that uses targets which are gone for good, because the first VMs that it has asked knew as little as it did.
func TestEnquiryGoesOnAfterVMsThatDoNotKnow(t *testing.T) {
	now := time.Unix(1000, 0)
	e := departure.NewEnquiry(4500 * time.Millisecond)
	e.Begin(now, 9*time.Second)
	asked := make(map[steering.VM]bool)
	ask := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(departure.PollInterval) {
			if vm, ok := e.Next(now); ok {
				asked[vm] = true
				e.Answered(0)
			}
		}
	}
	for i := range 30 {
		e.Heard(now, steering.VM(fmt.Sprint("fellow-", i)))
	}
	ask(time.Second)
	quick := len(asked)
	e.Heard(now, "knows")
	ask(time.Minute)
	assert.Assert(t, quick == 8 && len(asked) > quick && len(asked) <= quick+10, "%d, then %d asked", quick, len(asked))
}
