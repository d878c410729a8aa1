package model

import "fmt"

const (
	// livenessRounds is the number of rounds, of tickStep each, within which every
	// caller must have an answer.
	livenessRounds = 80
	// retransmitRounds is the number of rounds, of tickStep each, between two
	// retransmissions of a caller.
	retransmitRounds = 4
	// roundDeliveries bounds the deliveries of a round. Only a forwarding loop
	// between balancers exceeds it.
	roundDeliveries = 2000
)

// checkLiveness ends all faults: every balancer applies the last view, without
// the dead balancers, every packet is delivered and callers retransmit. It
// logs each delivery. It returns "", or a violation: of a safety property, by a
// forwarding loop, or by a caller without an answer after livenessRounds.
func (w *world) checkLiveness(log func(format string, args ...any)) string {
	for i, b := range w.balancers {
		if !b.dead {
			b.excludesDead = true
			w.setView(i, w.bounds.views())
		}
	}
	for round := range livenessRounds {
		if v := w.livenessRound(round, log); v != "" {
			return v
		}
		if w.noneWaiting() {
			return ""
		}
	}
	for _, c := range w.callers {
		if c.waiting() {
			return fmt.Sprintf("caller %d gets no answer after the end of all faults", c.index)
		}
	}
	return ""
}

func (w *world) livenessRound(round int, log func(format string, args ...any)) string {
	for i, b := range w.balancers {
		if !b.dead {
			w.tick(i)
		}
	}
	for _, c := range w.callers {
		if c.waiting() && round%retransmitRounds == 0 {
			w.retransmit(c)
		}
	}
	if round%retransmitRounds == 0 {
		w.retransmitAccepts()
	}
	for n := 0; len(w.network) > 0; n++ {
		if n == roundDeliveries {
			return "forwarding loop between balancers"
		}
		m := w.network[0]
		w.network = w.network[1:]
		to := w.nextHop(&m, round/retransmitRounds+n)
		log("round %d, to %d: %s", round, to, describe(&m))
		w.deliver(to, m)
	}
	return w.violation()
}

// retransmitAccepts sends the SYN-ACKs of all half-open connections again.
func (w *world) retransmitAccepts() {
	for _, t := range w.targets {
		for _, c := range w.callers {
			if k, known := t.conns[c.addr]; known && !k.open {
				w.send(message{leg: targetToFabric, index: t.index, vni: t.number, sender: t.index, b: t.accept(c.service, c.addr, k.callerISN)})
			}
		}
	}
}

// nextHop returns the index of the receiver of a message. The fabric chooses a
// live balancer by n, so that retransmissions reach all of them in turn.
func (w *world) nextHop(m *message, n int) int {
	if m.leg != callerToFabric && m.leg != targetToFabric {
		return m.index
	}
	for i := range w.balancers {
		j := (n + i) % len(w.balancers)
		if !w.balancers[j].dead {
			return j
		}
	}
	return 0
}

func (w *world) noneWaiting() bool {
	for _, c := range w.callers {
		if c.waiting() {
			return false
		}
	}
	return true
}
