package chart

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// maxNames bounds the states and the events of one chart.
const maxNames = 256

// Bindings is what the code that uses a chart brings to it. M is what guards
// and actions look at, usually a pointer.
type Bindings[M any] struct {
	// States and Events are the names the code knows.
	States []State
	Events []Event
	// Guards decide whether a transition applies; they must not change M.
	Guards map[string]func(M) bool
	// Actions run in order after the transition was taken.
	Actions map[string]func(M)
}

// id numbers states and events inside the interpreter. One byte, because Go
// boxes single bytes in an interface without allocating.
type id uint8

// Chart is a loaded chart. It holds no instance and may be shared.
type Chart[M any] struct {
	file     *file
	stateIDs map[State]id
	eventIDs map[Event]id
	states   []State
	events   []Event
	final    []bool
	actions  map[edge][]func(M)
	machine  *stateless.StateMachine
}

// edge identifies one transition.
type edge struct {
	from, event, to id
}

// Load parses a chart, checks it against what the code knows and prepares it.
// The error is a *LoadError that lists every problem; name is the file's name
// in it.
func Load[M any](name string, source []byte, b Bindings[M]) (*Chart[M], error) {
	f, err := parse(name, source)
	if err != nil {
		return nil, err
	}
	code := names{states: b.States, events: b.Events, guards: sortedKeys(b.Guards), actions: sortedKeys(b.Actions)}
	if problems := check(f, code); len(problems) > 0 {
		return nil, &LoadError{File: name, Problems: problems}
	}
	c := &Chart[M]{file: f}
	c.number()
	c.build(b)
	return c, nil
}

// MustLoad is Load for embedded files: a fault in one is a fault of the
// program, which must not start.
func MustLoad[M any](name string, source []byte, b Bindings[M]) *Chart[M] {
	c, err := Load(name, source, b)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart[M]) number() {
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

// build configures the interpreter. The instance's state and model travel in
// the context of each firing, so one machine serves every instance.
func (c *Chart[M]) build(b Bindings[M]) {
	c.machine = stateless.NewStateMachineWithExternalStorage(loadState[M], storeState[M], stateless.FiringImmediate)
	c.actions = make(map[edge][]func(M))
	for _, t := range c.file.Transitions {
		for _, from := range t.From {
			c.permit(b, t, from)
		}
	}
	c.machine.OnTransitioned(c.runActions)
	c.machine.OnUnhandledTrigger(c.refuse)
}

func (c *Chart[M]) permit(b Bindings[M], t fileTransition, from State) {
	e := edge{c.stateIDs[from], c.eventIDs[t.Event], c.stateIDs[t.To]}
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

// Final reports whether a state has no way out by design.
func (c *Chart[M]) Final(s State) bool {
	i, ok := c.stateIDs[s]
	return ok && c.final[i]
}

// Fire takes the transition of event from state, runs its actions on model and
// returns the new state. When no transition applies it returns the state as it
// was and a *NotPermittedError.
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

// firing is one call of Fire; it is the context the interpreter passes on.
type firing[M any] struct {
	context.Context
	model M
	state id
}

// firingKey finds the firing in a context that the interpreter wrapped.
type firingKey struct{}

// Value implements context.Context.
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
	e := edge{t.Source.(id), t.Trigger.(id), t.Destination.(id)}
	for _, action := range c.actions[e] {
		action(firingOf[M](ctx).model)
	}
}

func (c *Chart[M]) refuse(_ context.Context, s stateless.State, t stateless.Trigger, unmet []string) error {
	return &NotPermittedError{
		Chart:   c.file.Name,
		State:   c.states[s.(id)],
		Event:   c.events[t.(id)],
		Guarded: len(unmet) > 0,
	}
}
