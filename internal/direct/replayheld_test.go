package direct

import (
	"slices"
	"time"
)

// simRelease is the interval at which balancers consider held packets, as edge does.
const simRelease = 5 * time.Millisecond

// keep holds a packet of a flow at its balancer. An opening replaces an earlier one.
func (r *replay) keep(fl *simFlow, s *Segment, arrived func(*simTarget)) {
	b, k := fl.b, s.Flow()
	if b.held == nil {
		b.held = map[FlowKey][]func(Decision){}
	}
	if s.Flags.Has(SYN) {
		delete(b.held, k)
	}
	if len(b.held) == 0 {
		r.after(simRelease, func() { r.releaseLater(b) })
	}
	b.held[k] = append(b.held[k], func(d Decision) {
		if arrived != nil {
			r.deliver(fl, d, arrived)
		}
	})
}

// release carries out the balancer's decisions on held packets.
func (r *replay) release(b *balancer) {
	for _, x := range slices.Clone(b.f.Releases(r.now)) {
		packets := b.held[x.Flow]
		delete(b.held, x.Flow)
		for _, do := range packets {
			do(x.Decision)
		}
	}
}

// releaseLater releases packets at intervals of simRelease until none is held.
func (r *replay) releaseLater(b *balancer) {
	r.release(b)
	if len(b.held) > 0 {
		r.after(simRelease, func() { r.releaseLater(b) })
	}
}
