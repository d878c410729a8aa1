package edge

import (
	"net/netip"
	"time"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/platform"
)

const (
	// maxHeld bounds the packets that are held: the openings and requests that may wait in the
	// gates of eight services.
	maxHeld = 4096
	// maxHeldBytes bounds their size. It holds maxHeld openings and 1,500 requests of full
	// packets.
	maxHeldBytes = 2 << 20
)

// heldPackets keeps the packets that wait for a place at a target, by flow. The mutex of Edge
// guards it, as the forwarder's decisions to hold and to release have to reach it in order.
type heldPackets struct {
	flows map[direct.FlowKey][][]byte // each with room for the prefix
	count int
	bytes int
}

// add keeps a packet, given with the room for its prefix. An opening replaces an earlier one of
// the same flow. It returns false if the packet does not fit.
func (h *heldPackets) add(seg *direct.Segment, packet []byte) bool {
	k := seg.Flow()
	if seg.Flags.Has(direct.SYN) {
		h.remove(k)
	}
	if h.count >= maxHeld || h.bytes+len(packet) > maxHeldBytes {
		return false
	}
	if h.flows == nil {
		h.flows = map[direct.FlowKey][][]byte{}
	}
	h.flows[k] = append(h.flows[k], append([]byte(nil), packet...))
	h.count++
	h.bytes += len(packet)
	return true
}

// remove returns the packets of a flow, oldest first, and forgets them.
func (h *heldPackets) remove(k direct.FlowKey) [][]byte {
	list := h.flows[k]
	delete(h.flows, k)
	h.count -= len(list)
	for _, b := range list {
		h.bytes -= len(b)
	}
	return list
}

// releasedFlow is what to do with the held packets of a flow.
type releasedFlow struct {
	decision direct.Decision
	to       netip.AddrPort
	id       direct.TargetID
	packets  [][]byte
}

// heldCount returns the number of packets that are held.
func (e *Edge) heldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held.count
}

// takeReleased removes the packets that the forwarder releases now. e.mu is held.
func (e *Edge) takeReleased(now time.Duration) []releasedFlow {
	var out []releasedFlow
	for _, r := range e.forward.Releases(now) {
		x := releasedFlow{decision: r.Decision, packets: e.held.remove(r.Flow)}
		if t := r.Decision.Target; t != nil {
			x.to, x.id = t.Addr, t.ID
		}
		out = append(out, x)
	}
	return out
}

// holdPacket keeps a packet that the forwarder wants held. e.mu is held.
func (e *Edge) holdPacket(seg *direct.Segment, packet []byte) {
	if !e.held.add(seg, packet) {
		e.forward.Unhold(seg)
		e.counts.heldLost.Add(1)
	}
}

// releaseHeld sends the packets that the forwarder releases now. It reports whether others are
// still held.
func (c *control) releaseHeld() bool {
	e, now := c.edge, c.now()
	e.mu.Lock()
	released := e.takeReleased(now)
	left := e.held.count > 0
	e.mu.Unlock()
	e.packets.sendReleased(now, released)
	return left
}

// releaseSoon makes the control goroutine consider held packets within releaseInterval. It may
// be called from any goroutine.
func (c *control) releaseSoon() {
	select {
	case c.heldNow <- struct{}{}:
	default:
	}
}

// sendReleased carries out decisions on packets that were held.
func (p *packets) sendReleased(now time.Duration, flows []releasedFlow) {
	for i := range flows {
		p.sendReleasedFlow(now, &flows[i])
	}
}

func (p *packets) sendReleasedFlow(now time.Duration, r *releasedFlow) {
	var seg direct.Segment
	for i, buf := range r.packets {
		packet := buf[platform.PrefixSize:]
		if err := platform.ParsePacket(packet, &seg); err != nil {
			continue // it was parsed when it arrived
		}
		if r.decision.Verb != direct.Reset || i == 0 {
			p.carryOut(r.decision, buf, &seg, r.to, r.id)
			p.edge.logDecision(now, &seg, r.decision, r.id)
		}
	}
}

// carryOut sends what a decision on a packet asks for. buf is the packet with room for its
// prefix.
func (p *packets) carryOut(d direct.Decision, buf []byte, seg *direct.Segment, to netip.AddrPort, id direct.TargetID) {
	switch d.Verb {
	case direct.Forward:
		platform.PutTarget(buf, id)
		if d.SetCookie {
			platform.SetCookie(buf[platform.PrefixSize:], id.Cookie())
		}
		p.send(buf, to)
	case direct.Reset:
		p.reset(seg)
	}
}
