// Package lifecycle builds state transition tables that many objects share. A daemon has
// thousands of runs and slots, and a looplab/fsm instance for each would cost several maps
// and a mutex. So each object stores only its state, and the table is computed from one
// fsm instance at the start.
package lifecycle

import (
	"context"
	"fmt"

	"github.com/looplab/fsm"
	"github.com/pkg/errors"
)

// Table maps a state and an event to the next state. It is immutable.
type Table[State ~string, Event ~string] struct {
	name string
	next map[State]map[Event]State
}

// Transition allows Event in each state of From. The next state is To.
type Transition[State ~string, Event ~string] struct {
	Event Event
	From  []State
	To    State
}

// New computes a table. It panics if fsm rejects a transition, which is a programming
// error. The name appears in the messages of panics.
func New[State ~string, Event ~string](name string, transitions []Transition[State, Event]) *Table[State, Event] {
	machine := fsm.NewFSM("", descriptions(transitions), fsm.Callbacks{})
	table := &Table[State, Event]{name: name, next: map[State]map[Event]State{}}
	for _, transition := range transitions {
		for _, from := range transition.From {
			table.add(machine, from, transition.Event)
		}
	}
	return table
}

func descriptions[State ~string, Event ~string](transitions []Transition[State, Event]) fsm.Events {
	events := make(fsm.Events, 0, len(transitions))
	for _, transition := range transitions {
		sources := make([]string, 0, len(transition.From))
		for _, from := range transition.From {
			sources = append(sources, string(from))
		}
		events = append(events, fsm.EventDesc{Name: string(transition.Event), Src: sources, Dst: string(transition.To)})
	}
	return events
}

func (table *Table[State, Event]) add(machine *fsm.FSM, from State, event Event) {
	machine.SetState(string(from))
	err := machine.Event(context.Background(), string(event))
	if err != nil && !isNoTransition(err) {
		panic(fmt.Sprintf("lifecycle %s: %s in %s: %v", table.name, event, from, err))
	}
	if table.next[from] == nil {
		table.next[from] = map[Event]State{}
	}
	table.next[from][event] = State(machine.Current())
}

// isNoTransition reports whether err means that the event is allowed and leaves the state
// unchanged.
func isNoTransition(err error) bool {
	var noTransition fsm.NoTransitionError
	return errors.As(err, &noTransition)
}

// Next returns the next state and whether the event is allowed in the given state.
func (table *Table[State, Event]) Next(state State, event Event) (State, bool) {
	next, ok := table.next[state][event]
	return next, ok
}

// MustApply sets *state to the next state. It panics if the event is not allowed in *state,
// because callers have checked that it is.
func (table *Table[State, Event]) MustApply(state *State, event Event) {
	next, ok := table.next[*state][event]
	if !ok {
		panic(fmt.Sprintf("lifecycle %s: event %s is not allowed in state %s", table.name, event, *state))
	}
	*state = next
}
