package direct

import (
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

// Release says what to do with all held packets of a flow.
type Release struct {
	Flow     FlowKey
	Decision Decision
}

// Releases returns the flows whose held packets are no longer held. It is to be called after
// each packet and each tick. The slice is reused by the next call.
func (f *Forwarder) Releases(now time.Duration) []Release {
	if len(f.held) == 0 && len(f.due) == 0 {
		return nil
	}
	f.clock = now
	for _, g := range f.gates {
		if g.waiting > 0 {
			f.refreshShares(now, g)
			f.drain(now, g)
		}
	}
	f.released, f.due = f.due, f.released[:0]
	return f.released
}

// drain releases what the gate admits or rejects now.
func (f *Forwarder) drain(now time.Duration, g *serviceGate) {
	for {
		r, ok := g.Next(now)
		if !ok {
			return
		}
		h := f.held[r.Key]
		if h == nil || h.gate != g {
			if r.Verdict != admission.Reject {
				g.Abandon(now, r.Pool)
			}
			continue
		}
		f.removeHeld(r.Key, h)
		d := f.release(now, h, r)
		d.Waited = r.Waited
		f.addRelease(r.Key, d, len(h.packets))
	}
}

// addRelease adds a release of so many packets.
func (f *Forwarder) addRelease(k FlowKey, d Decision, packets int) {
	f.counts[d.Reason] += uint64(packets)
	if f.catalogue != nil {
		d.Version = f.catalogue.Version
	}
	f.due = append(f.due, Release{k, d})
}

// release decides on held packets that the gate has released.
func (f *Forwarder) release(now time.Duration, h *held, r admission.Release[FlowKey]) Decision {
	s := &h.packets[0]
	switch {
	case r.Verdict == admission.Reject && h.copiedElsewhere(now):
		return Decision{Verb: Drop, Reason: DroppedWaiting}
	case r.Verdict == admission.Reject:
		return h.gate.rejectionOf(s)
	case h.flow == nil:
		d := f.releaseOpening(now, h, r)
		if d.Verb == Reset && h.copiedElsewhere(now) {
			return Decision{Verb: Drop, Reason: DroppedWaiting}
		}
		return d
	case r.Verdict == admission.Forced:
		return f.releaseRequest(now, h, r.Pool, ForwardedForced)
	}
	return f.releaseRequest(now, h, r.Pool, Forwarded)
}

// releaseOpening forwards a held opening that has a place now.
func (f *Forwarder) releaseOpening(now time.Duration, h *held, r admission.Release[FlowKey]) Decision {
	s := &h.packets[0]
	if _, ok := f.catalogue.Routes[s.Address]; !ok {
		h.gate.Abandon(now, r.Pool)
		return resetOf(s, ResetNoRoute)
	}
	return f.openAdmitted(now, s, h.gate, r.Pool)
}

// releaseRequest forwards the packets of a held request, which has a place in a pool.
func (f *Forwarder) releaseRequest(now time.Duration, h *held, pool admission.Pool, reason Reason) Decision {
	fl := h.flow
	f.attachPlace(fl, place{gate: h.gate, pool: pool})
	for i := range h.packets {
		f.observe(now, fl, &h.packets[i])
	}
	return f.forwardFollowing(now, fl.target, fl, &h.packets[0], reason)
}
