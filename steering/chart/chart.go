package chart

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is the name of a state of a chart.
type State string

// Event is the name of an event of a chart.
type Event string

// maxNames is the maximum number of states, and of events, in one chart. Their IDs
// have to fit into the type id.
const maxNames = 256

// Bindings connects a chart to the code that uses it. M is the type of the argument
// of guards and actions, usually a pointer.
type Bindings[M any] struct {
	// States and Events are the names that the code knows. They must be the same as
	// those in the chart.
	States []State
	Events []Event
	// Guards decide whether a transition applies. They must not modify M.
	Guards map[string]func(M) bool
	// Actions run after the transition, in the order in which the chart names them.
	Actions map[string]func(M)
}

// id identifies a state or an event inside the interpreter. It is a single byte,
// because Go converts single bytes to interface values without an allocation.
type id uint8

// Chart is a loaded chart. It holds no state of an instance and may be shared.
type Chart[M any] struct {
	file     *file
	stateIDs map[State]id
	eventIDs map[Event]id
	states   []State
	events   []Event
	final    []bool
	actions  map[transitionKey][]func(M)
	machine  *stateless.StateMachine
}

// transitionKey identifies a transition.
type transitionKey struct {
	from, event, to id
}

// Load parses and validates a chart and checks it against the bindings. The error is a
// *LoadError that lists all problems. The name is the file name in error messages.
func Load[M any](name string, source []byte, b Bindings[M]) (*Chart[M], error) {
	f, err := parse(name, source)
	if err != nil {
		return nil, err
	}
	code := codeNames{states: b.States, events: b.Events, guards: sortedKeys(b.Guards), actions: sortedKeys(b.Actions)}
	if problems := check(f, code); len(problems) > 0 {
		return nil, &LoadError{File: name, Problems: problems}
	}
	c := &Chart[M]{file: f}
	c.assignIDs()
	c.build(b)
	return c, nil
}

// MustLoad is like Load but panics on an error. It is meant for embedded files, where an
// invalid chart is an error in the program, which must not start.
func MustLoad[M any](name string, source []byte, b Bindings[M]) *Chart[M] {
	c, err := Load(name, source, b)
	if err != nil {
		panic(err)
	}
	return c
}

// assignIDs maps the names of states and events to their indexes in the file.
func (c *Chart[M]) assignIDs() {
	c.stateIDs = make(map[State]id, len(c.file.States))
	for i, s := range c.file.States {
		c.stateIDs[s.Name] = id(i)
		c.states = append(c.states, s.Name)
		c.final = append(c.final, s.Final)
	}
	c.eventIDs = make(map[Event]id, len(c.file.Events))
	for i, e := range c.file.Events {
		c.eventIDs[e.Name] = id(i)
		c.events = append(c.events, e.Name)
	}
}

// build configures the interpreter. The state and the model of an instance are passed in
// the context of each Fire call, so one machine serves all instances.
func (c *Chart[M]) build(b Bindings[M]) {
	c.machine = stateless.NewStateMachineWithExternalStorage(loadState[M], storeState[M], stateless.FiringImmediate)
	c.actions = make(map[transitionKey][]func(M))
	for _, t := range c.file.Transitions {
		for _, from := range t.From {
			c.addTransition(b, t, from)
		}
	}
	c.machine.OnTransitioned(c.runActions)
	c.machine.OnUnhandledTrigger(c.notPermitted)
}

func (c *Chart[M]) addTransition(b Bindings[M], t fileTransition, from State) {
	e := transitionKey{c.stateIDs[from], c.eventIDs[t.Event], c.stateIDs[t.To]}
	for _, name := range t.Actions {
		c.actions[e] = append(c.actions[e], b.Actions[name])
	}
	var guards []stateless.GuardFunc
	if name, negated := t.guardName(); name != "" {
		guards = append(guards, guardFunc(b.Guards[name], negated))
	}
	state := c.machine.Configure(e.from)
	if e.from == e.to {
		state.PermitReentry(e.event, guards...)
		return
	}
	state.Permit(e.event, e.to, guards...)
}

func guardFunc[M any](guard func(M) bool, negated bool) stateless.GuardFunc {
	return func(ctx context.Context, _ ...any) bool {
		return guard(firingOf[M](ctx).model) != negated
	}
}

// Name returns the chart's name.
func (c *Chart[M]) Name() string { return c.file.Name }

// Initial returns the state that instances start in.
func (c *Chart[M]) Initial() State { return c.file.Initial }

// Final reports whether the chart marks a state as final, that is, without transitions
// out of it.
func (c *Chart[M]) Final(s State) bool {
	i, ok := c.stateIDs[s]
	return ok && c.final[i]
}

// Fire takes the transition for event from state, runs its actions on model and returns
// the new state. If no transition applies, it returns state and a *NotPermittedError.
func (c *Chart[M]) Fire(model M, state State, event Event) (State, error) {
	s, knownState := c.stateIDs[state]
	e, knownEvent := c.eventIDs[event]
	if !knownState || !knownEvent {
		return state, &NotPermittedError{Chart: c.file.Name, State: state, Event: event}
	}
	f := &firing[M]{Context: context.Background(), model: model, state: s}
	if err := c.machine.FireCtx(f, e); err != nil {
		return state, err
	}
	return c.states[f.state], nil
}

// firing holds the model and the state of one call of Fire. It is the context that is
// passed through the interpreter.
type firing[M any] struct {
	context.Context
	model M
	state id
}

// firingKey is the context key of the firing, for contexts that the interpreter has
// wrapped.
type firingKey struct{}

// Value implements context.Context. It returns f itself for firingKey.
func (f *firing[M]) Value(key any) any {
	if key == (firingKey{}) {
		return f
	}
	return f.Context.Value(key)
}

func firingOf[M any](ctx context.Context) *firing[M] {
	return ctx.Value(firingKey{}).(*firing[M])
}

func loadState[M any](ctx context.Context) (stateless.State, error) {
	return firingOf[M](ctx).state, nil
}

func storeState[M any](ctx context.Context, s stateless.State) error {
	firingOf[M](ctx).state = s.(id)
	return nil
}

func (c *Chart[M]) runActions(ctx context.Context, t stateless.Transition) {
	e := transitionKey{t.Source.(id), t.Trigger.(id), t.Destination.(id)}
	for _, action := range c.actions[e] {
		action(firingOf[M](ctx).model)
	}
}

func (c *Chart[M]) notPermitted(_ context.Context, s stateless.State, t stateless.Trigger, unmet []string) error {
	return &NotPermittedError{
		Chart:   c.file.Name,
		State:   c.states[s.(id)],
		Event:   c.events[t.(id)],
		Guarded: len(unmet) > 0,
	}
}
