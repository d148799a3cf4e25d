package chart

import (
	"fmt"
	"maps"
	"slices"
)

// codeNames holds the names that the code binds to a chart.
type codeNames struct {
	states  []State
	events  []Event
	guards  []string
	actions []string
}

// checker validates a chart file and collects its problems.
type checker struct {
	file     *file
	code     codeNames
	problems []Problem
}

func (c *checker) add(path, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// check returns all problems of f, including differences from the names in code.
func check(f *file, code codeNames) []Problem {
	c := &checker{file: f, code: code}
	c.states()
	c.events()
	c.transitions()
	c.unused()
	c.ambiguous()
	c.unreachable()
	return c.problems
}

func (c *checker) hasState(s State) bool {
	return slices.ContainsFunc(c.file.States, func(x fileState) bool { return x.Name == s })
}

func (c *checker) hasEvent(e Event) bool {
	return slices.ContainsFunc(c.file.Events, func(x fileEvent) bool { return x.Name == e })
}

func (c *checker) states() {
	if len(c.file.States) > maxNames {
		c.add("states", "split the chart", "has %d states, more than %d", len(c.file.States), maxNames)
	}
	seen := map[State]bool{}
	for i, s := range c.file.States {
		path := fmt.Sprintf("states[%d].name", i)
		if seen[s.Name] {
			c.add(path, "keep one of them", "state %q is listed twice", s.Name)
		}
		seen[s.Name] = true
		if !slices.Contains(c.code.states, s.Name) {
			c.add(path, "use a state that the code lists, or list it there", "unknown state %q", s.Name)
		}
	}
	for _, s := range c.code.states {
		if !seen[s] {
			c.add("states", "add the state to the chart, or remove it from the code", "state %q of the code is missing", s)
		}
	}
	if !seen[c.file.Initial] {
		c.add("initial", "name a listed state", "unknown state %q", c.file.Initial)
	}
}

func (c *checker) events() {
	if len(c.file.Events) > maxNames {
		c.add("events", "split the chart", "has %d events, more than %d", len(c.file.Events), maxNames)
	}
	seen := map[Event]bool{}
	for i, e := range c.file.Events {
		path := fmt.Sprintf("events[%d].name", i)
		if seen[e.Name] {
			c.add(path, "keep one of them", "event %q is listed twice", e.Name)
		}
		seen[e.Name] = true
		if !slices.Contains(c.code.events, e.Name) {
			c.add(path, "use an event that the code lists, or list it there", "unknown event %q", e.Name)
		}
	}
	for _, e := range c.code.events {
		if !seen[e] {
			c.add("events", "add the event to the chart, or remove it from the code", "event %q of the code is missing", e)
		}
	}
}

func (c *checker) transitions() {
	for i, t := range c.file.Transitions {
		path := fmt.Sprintf("transitions[%d]", i)
		for j, from := range t.From {
			if !c.hasState(from) {
				c.add(fmt.Sprintf("%s.from[%d]", path, j), "name a listed state", "unknown state %q", from)
			}
		}
		if len(t.From) == 0 {
			c.add(path+".from", "name at least one state", "is empty")
		}
		if !c.hasState(t.To) {
			c.add(path+".to", "name a listed state", "unknown state %q", t.To)
		}
		if !c.hasEvent(t.Event) {
			c.add(path+".event", "name a listed event", "unknown event %q", t.Event)
		}
		if guard, _ := t.guardName(); guard != "" && !slices.Contains(c.code.guards, guard) {
			c.add(path+".guard", "name a bound guard, or bind it", "unknown guard %q", guard)
		}
		for j, a := range t.Actions {
			if !slices.Contains(c.code.actions, a) {
				c.add(fmt.Sprintf("%s.actions[%d]", path, j), "name a bound action, or bind it", "unknown action %q", a)
			}
		}
	}
}

// unused reports guards and actions that the code binds but no transition names, and
// events that no transition uses. Otherwise a guard or action that was dropped from the
// chart by mistake would go unnoticed.
func (c *checker) unused() {
	guards, actions, events := map[string]bool{}, map[string]bool{}, map[Event]bool{}
	for _, t := range c.file.Transitions {
		guard, _ := t.guardName()
		guards[guard] = true
		events[t.Event] = true
		for _, a := range t.Actions {
			actions[a] = true
		}
	}
	for _, g := range c.code.guards {
		if !guards[g] {
			c.add("transitions", "name it in a transition, or unbind it", "guard %q is bound but never used", g)
		}
	}
	for _, a := range c.code.actions {
		if !actions[a] {
			c.add("transitions", "name it in a transition, or unbind it", "action %q is bound but never used", a)
		}
	}
	for i, e := range c.file.Events {
		if !events[e.Name] {
			c.add(fmt.Sprintf("events[%d]", i), "use it in a transition, or remove it", "event %q is never used", e.Name)
		}
	}
}

// stateEvent is an event in a state.
type stateEvent struct {
	from  State
	event Event
}

// ambiguous reports events with several transitions in a state, unless exactly one of the
// transitions applies whatever the guard returns.
func (c *checker) ambiguous() {
	first := map[stateEvent]int{}
	count := map[stateEvent]int{}
	for i, t := range c.file.Transitions {
		path := fmt.Sprintf("transitions[%d]", i)
		for _, from := range t.From {
			key := stateEvent{from, t.Event}
			count[key]++
			if count[key] == 1 {
				first[key] = i
				continue
			}
			c.checkPair(path, key, c.file.Transitions[first[key]], t, count[key])
		}
	}
}

// checkPair reports transition b, the count-th one for key, unless it is the second one
// and complements the first one, a: both need the same guard, one of them negated, and
// different destinations.
func (c *checker) checkPair(path string, key stateEvent, a, b fileTransition, count int) {
	const remedy = "give the two transitions a guard and its negation, and different ends"
	aName, aNot := a.guardName()
	bName, bNot := b.guardName()
	opposed := aName != "" && aName == bName && aNot != bNot
	if count > 2 || !opposed || a.To == b.To {
		c.add(path, remedy, "event %q in state %q does not choose one transition", key.event, key.from)
	}
}

// unreachable reports states that no sequence of transitions reaches, states without
// transitions that are not marked final, and final states with transitions.
func (c *checker) unreachable() {
	next := map[State][]State{}
	for _, t := range c.file.Transitions {
		for _, from := range t.From {
			next[from] = append(next[from], t.To)
		}
	}
	reached := map[State]bool{c.file.Initial: true}
	for todo := []State{c.file.Initial}; len(todo) > 0; {
		s := todo[0]
		todo = todo[1:]
		for _, to := range next[s] {
			if !reached[to] {
				reached[to] = true
				todo = append(todo, to)
			}
		}
	}
	for i, s := range c.file.States {
		path := fmt.Sprintf("states[%d]", i)
		if !reached[s.Name] {
			c.add(path, "add a transition to it, or remove it", "state %q cannot be reached", s.Name)
		}
		if s.Final && len(next[s.Name]) > 0 {
			c.add(path, "remove its transitions, or final", "final state %q has transitions", s.Name)
		}
		if !s.Final && len(next[s.Name]) == 0 {
			c.add(path, "add a transition out of it, or mark it final", "state %q has no way out", s.Name)
		}
	}
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
