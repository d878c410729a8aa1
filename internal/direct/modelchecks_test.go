package direct

// checkReset fails the run if a reset flow could have continued.
func (m *model) checkReset(fl *modelFlow, why Reason) {
	if !fl.lost() && !fl.dropped {
		m.fail("%v: a flow of a living target was reset", why)
	}
}

// lost reports whether the start of the target that accepted the flow has ended.
func (fl *modelFlow) lost() bool { return fl.target.ended || fl.target.start != fl.start }

// invariants fails the run if a balancer's counts or table size are impossible.
func (m *model) invariants() {
	for i, f := range m.balancers {
		for id, x := range f.targets {
			if x.flows < 0 || x.busy < 0 {
				m.fail("balancer %d counts %d flows and %d requests at %x", i, x.flows, x.busy, uint64(id))
			}
		}
		if f.Flows() > 50 {
			m.fail("balancer %d has %d flows in its table", i, f.Flows())
		}
	}
}
