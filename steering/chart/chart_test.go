package chart

import (
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

type door struct {
	locked bool
	opened int
}

const doorSource = `{
  "name": "door", "doc": "A door with a lock.", "initial": "closed",
  "states": [
    {"name": "closed", "doc": "shut"},
    {"name": "open", "doc": "not shut"},
    {"name": "alarm", "doc": "somebody pulled a locked door", "final": true}
  ],
  "events": [
    {"name": "pull", "doc": "somebody pulls"},
    {"name": "push", "doc": "somebody pushes"}
  ],
  "transitions": [
    {"from": ["closed"], "event": "pull", "to": "open", "guard": "!locked", "actions": ["count"]},
    {"from": ["closed"], "event": "pull", "to": "alarm", "guard": "locked"},
    {"from": ["open"], "event": "pull", "to": "open", "actions": ["count"]},
    {"from": ["open"], "event": "push", "to": "closed"}
  ]
}`

func doorBindings() Bindings[*door] {
	return Bindings[*door]{
		States:  []State{"closed", "open", "alarm"},
		Events:  []Event{"pull", "push"},
		Guards:  map[string]func(*door) bool{"locked": func(d *door) bool { return d.locked }},
		Actions: map[string]func(*door){"count": func(d *door) { d.opened++ }},
	}
}

func TestFireFollowsGuardsAndRunsActions(t *testing.T) {
	c, err := Load("door.json", []byte(doorSource), doorBindings())
	assert.NilError(t, err)
	d := &door{}

	s, err := c.Fire(d, c.Initial(), "pull")
	assert.NilError(t, err)
	assert.Equal(t, s, State("open"))
	s, err = c.Fire(d, s, "pull")
	assert.NilError(t, err)
	assert.Equal(t, s, State("open"))
	assert.Equal(t, d.opened, 2)
	s, err = c.Fire(d, s, "push")
	assert.NilError(t, err)

	kept, err := c.Fire(d, s, "push")
	var refused *NotPermittedError
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, kept, State("closed"))
	assert.Equal(t, refused.Guarded, false)

	d.locked = true
	s, err = c.Fire(d, s, "pull")
	assert.NilError(t, err)
	assert.Equal(t, s, State("alarm"))
	assert.Assert(t, c.Final(s))
	assert.Equal(t, d.opened, 2)
}

// Guards against a chart and code that differ, which would take an unintended transition
// or silently skip an action. Load has to report the file, the path and the remedy.
func TestLoadReportsProblems(t *testing.T) {
	cases := []struct {
		name, old, new, path, message string
	}{
		{"unknown state in transition", `"to": "alarm"`, `"to": "ajar"`, "transitions[1].to", `unknown state "ajar"`},
		{"unknown event", `"event": "push"`, `"event": "kick"`, "transitions[3].event", `unknown event "kick"`},
		{"unknown action", `"actions": ["count"]},
    {"from": ["open"], "event": "push"`, `"actions": ["ring"]},
    {"from": ["open"], "event": "push"`, "transitions[2].actions[0]", `unknown action "ring"`},
		{"unknown guard", `"guard": "!locked"`, `"guard": "!stuck"`, "transitions[0].guard", `unknown guard "stuck"`},
		{"state unknown to the code", `{"name": "alarm"`, `{"name": "siren"`, "states[2].name", `unknown state "siren"`},
		{"state missing from the chart", `{"name": "alarm"`, `{"name": "siren"`, "states", `state "alarm" of the code is missing`},
		{"event unknown to the code", `{"name": "push"`, `{"name": "kick"`, "events[1].name", `unknown event "kick"`},
		{"unknown initial state", `"initial": "closed"`, `"initial": "ajar"`, "initial", `unknown state "ajar"`},
		{"two transitions for one event", `"guard": "!locked"`, `"guard": "locked"`, "transitions[1]", "does not choose one transition"},
		{"no way out", `, "final": true`, ``, "states[2]", "has no way out"},
		{"unreachable", `"to": "alarm"`, `"to": "closed"`, "states[2]", "cannot be reached"},
		{"unknown field", `"doc": "shut"`, `"dok": "shut"`, "byte", "unknown field"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			source := strings.Replace(doorSource, tc.old, tc.new, 1)
			assert.Assert(t, source != doorSource)
			_, err := Load("door.json", []byte(source), doorBindings())
			var load *LoadError
			assert.Assert(t, errors.As(err, &load))
			assert.Equal(t, load.File, "door.json")
			assert.Assert(t, hasProblem(load, tc.path, tc.message), "%v", err)
		})
	}
}

func hasProblem(e *LoadError, path, message string) bool {
	for _, p := range e.Problems {
		if strings.HasPrefix(p.Path, path) && strings.Contains(p.Message, message) && p.Remedy != "" {
			return true
		}
	}
	return false
}

func TestMarkdownShowsEveryTransition(t *testing.T) {
	c, err := Load("door.json", []byte(doorSource), doorBindings())
	assert.NilError(t, err)
	page := c.Markdown()
	for _, line := range []string{
		"[*] --> closed",
		"closed --> open: pull [!locked] / count",
		"closed --> alarm: pull [locked]",
		"alarm --> [*]",
		"| push | somebody pushes |",
	} {
		assert.Assert(t, strings.Contains(page, line), "%s", page)
	}
}

func BenchmarkFire(b *testing.B) {
	c, err := Load("door.json", []byte(doorSource), doorBindings())
	assert.NilError(b, err)
	d := &door{}
	s := c.Initial()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		event := Event("pull")
		if i%2 == 1 {
			event = "push"
		}
		s, _ = c.Fire(d, s, event)
	}
}
