package model

import (
	"crypto/sha256"
	"fmt"
)

// step is one transition of the model. A state is reached by replaying its
// steps from the initial state, because a router cannot be copied.
type step struct {
	kind    stepKind
	message int // position in world.network
	index   int // of the balancer, target or caller that the step concerns
}

// stepKind is the kind of a step. Those up to stepShed concern a message.
type stepKind int

const (
	stepDeliver stepKind = iota
	stepLose
	stepDuplicate
	stepShed // the target refuses the opening that it receives
	stepTick
	stepNextView
	stepCrash
	stepRetransmit
)

// Report is the result of an exploration.
type Report struct {
	States    int      // number of distinct states visited
	Depth     int      // number of steps of the longest paths tried
	Complete  bool     // every state within the bounds was visited
	Violation string   // the violated property, or ""
	Trace     []string // steps that lead to the violation
}

// Explore visits the states within the bounds breadth first and stops at the
// first violation, whose trace is therefore a shortest one.
func Explore(b Bounds) Report {
	seen := map[[sha256.Size]byte]bool{}
	level := [][]step{nil}
	var r Report
	for depth := 0; len(level) > 0 && depth <= b.Depth; depth++ {
		r.Depth = depth
		var next [][]step
		for _, path := range level {
			w := replay(b, path)
			k := w.key()
			if seen[k] {
				continue
			}
			seen[k] = true
			r.States = len(seen)
			if v := w.violation(); v != "" {
				r.Violation, r.Trace = v, trace(b, path)
				return r
			}
			if r.States >= b.States {
				return r
			}
			for _, s := range w.steps() {
				next = append(next, append(path[:len(path):len(path)], s))
			}
		}
		level = next
	}
	r.Complete = len(level) == 0
	return r
}

func replay(b Bounds, path []step) *world {
	w := newWorld(b)
	for _, s := range path {
		w.apply(s)
	}
	return w
}

// steps returns the transitions that are possible in this state. Of identical
// messages in flight only the first is considered.
func (w *world) steps() []step {
	var out []step
	seen := map[string]bool{}
	for i := range w.network {
		m := &w.network[i]
		k := m.key()
		if seen[k] {
			continue
		}
		seen[k] = true
		out = append(out, w.deliveries(i, m)...)
		if w.budget.Losses > 0 {
			out = append(out, step{stepLose, i, 0})
		}
		if w.budget.Duplicates > 0 && m.leg != handover {
			out = append(out, step{stepDuplicate, i, 0})
		}
	}
	for i, b := range w.balancers {
		if b.dead {
			continue
		}
		if b.ticks < w.bounds.Ticks {
			out = append(out, step{stepTick, 0, i})
		}
		if b.view < w.bounds.views() {
			out = append(out, step{stepNextView, 0, i})
		}
		if w.budget.Crashes > 0 {
			out = append(out, step{stepCrash, 0, i})
		}
	}
	for i, c := range w.callers {
		if c.retransmissions < w.bounds.Retransmissions && c.waiting() {
			out = append(out, step{stepRetransmit, 0, i})
		}
	}
	return out
}

// deliveries returns the steps by which message i can reach a receiver.
func (w *world) deliveries(i int, m *message) []step {
	switch m.leg {
	case callerToFabric, targetToFabric:
		var out []step
		for j, b := range w.balancers {
			// The fabric sends nothing to balancers that do not serve yet.
			if !b.dead && w.bounds.joined(j, b.view) {
				out = append(out, step{stepDeliver, i, j})
			}
		}
		return out
	case balancerToTarget:
		out := []step{{stepDeliver, i, m.index}}
		if w.budget.Sheds > 0 {
			out = append(out, step{stepShed, i, m.index})
		}
		return out
	}
	return []step{{stepDeliver, i, m.index}}
}

// apply changes the state by a step.
func (w *world) apply(s step) {
	switch s.kind {
	case stepTick:
		w.tick(s.index)
		return
	case stepNextView:
		w.setView(s.index, w.balancers[s.index].view+1)
		return
	case stepCrash:
		w.budget.Crashes--
		w.balancers[s.index].dead = true
		return
	case stepRetransmit:
		w.retransmit(w.callers[s.index])
		return
	}
	m := w.network[s.message]
	if s.kind == stepDuplicate {
		w.budget.Duplicates--
		w.network = append(w.network, m)
		return
	}
	w.network = append(w.network[:s.message:s.message], w.network[s.message+1:]...)
	switch s.kind {
	case stepLose:
		w.budget.Losses--
	case stepShed:
		w.budget.Sheds--
		w.deliverToTarget(m, true)
	case stepDeliver:
		w.deliver(s.index, m)
	}
}

// deliver hands a message to its receiver. Index i is that of the balancer which the fabric
// chose or to which the message is addressed.
func (w *world) deliver(i int, m message) {
	switch m.leg {
	case balancerToTarget:
		w.deliverToTarget(m, false)
	case balancerToCaller:
		w.deliverToCaller(m)
	default:
		w.deliverToBalancer(i, m)
	}
}

// tick advances the clock of balancer i by tickStep and lets its router act on timeouts.
func (w *world) tick(i int) {
	b := w.balancers[i]
	b.ticks++
	b.now += tickStep
	w.out.Reset()
	b.r.Alive(b.now)
	b.r.Tick(b.now, &w.out)
	w.sendOutput(-1)
}

func (w *world) retransmit(c *caller) {
	c.retransmissions++
	w.send(message{leg: callerToFabric, sender: -1, b: c.retransmission()})
}

// trace returns a path as text, one line for each step.
func trace(b Bounds, path []step) []string {
	w := newWorld(b)
	names := [...]string{"deliver", "lose", "double", "shed", "tick", "new view at", "crash of", "resend by caller"}
	var out []string
	for _, s := range path {
		text := fmt.Sprintf("%s %d", names[s.kind], s.index)
		if s.kind <= stepShed {
			m := w.network[s.message]
			text = fmt.Sprintf("%s to %d: %s", names[s.kind], s.index, describe(&m))
		}
		out = append(out, text)
		w.apply(s)
	}
	return out
}
