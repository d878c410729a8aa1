package direct

import "time"

// crash ends a target's start with its flows. Its registration stays.
func (m *model) crash(x *modelTarget) {
	if x.ended || x.closed || x.down {
		return
	}
	x.down = true
	x.start++
}

// restart has a target start again under its identifier, ready, with its clock
// stepped by so many milliseconds. Balancers hear of it when they next learn.
func (m *model) restart(x *modelTarget, step int) {
	if x.ended || x.closed {
		return
	}
	m.crash(x)
	x.down = false
	m.revision++
	x.Revision = rev(m.revision)
	x.Draining = false
	x.Born = Born{Told: true, Millis: (m.now + time.Duration(step)*time.Millisecond).Milliseconds()}
}
