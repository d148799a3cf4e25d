package presence_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering/presence"
)

// Guards against requests at a leaving VM that are given up while it still runs them, and against
// requests that wait for a VM which was killed while it was leaving, or has started again.
func TestWhatIsExpectedOfAProcess(t *testing.T) {
	for _, c := range []struct {
		name                      string
		heard, everHeard, leaving bool
		state                     presence.State
		takes, answers            bool
	}{
		{"live", true, true, false, presence.Live, true, true},
		{"leaving", true, true, true, presence.Leaving, false, true},
		{"ended as announced, or killed while leaving", false, true, true, presence.Ended, false, false},
		{"killed or cut off", false, true, false, presence.Lost, false, false},
		{"never heard", false, false, false, presence.Unknown, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := presence.Of(c.heard, c.everHeard, c.leaving)
			assert.Equal(t, s, c.state)
			assert.Equal(t, s.TakesRequests(), c.takes)
			now := presence.Process{State: s, Incarnation: 7}
			assert.Equal(t, now.Abandons(7), !c.answers)
			assert.Equal(t, now.Abandons(0), !c.answers, "the process that was asked is not known")
			assert.Assert(t, now.Abandons(6), "that process has been replaced")
		})
	}
}

// Guards against a VM that is given something new although it is not expected to answer.
func TestWhatTakesRequestsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := presence.Of(rapid.Bool().Draw(t, "heard"), rapid.Bool().Draw(t, "ever heard"), rapid.Bool().Draw(t, "leaving"))
		assert.Assert(t, !s.TakesRequests() || s.Answers())
	})
}
