package router

import (
	"slices"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/flow"
)

const (
	// maxProbes bounds the packets kept while candidates are tried.
	maxProbes = 4096
	// probeExpiry ends a probe that no candidate answers.
	probeExpiry = 30 * time.Second
)

// probe is a packet of a flow whose target nobody remembers.
type probe struct {
	packet     []byte
	ack        uint32 // of that packet: the number that the flow's target goes on with
	candidates []uint32
	began      time.Duration
}

// probeUnknown tries the candidates of a flow that every balancer asked has
// forgotten, or that never existed.
//
// Failure: the home dies before any other balancer saw an answer. It shows as
// a caller's packet that nobody can place. A target without the connection
// rejects the segment with a reset and has accepted nothing, so the next
// candidate may be tried; the candidate that has the flow accepts it. Silence
// is no rejection: the packet is then never sent to another target. The likeliest target
// is tried first, if one is.
func (c *call) probeUnknown(likeliest uint32) {
	if c.seg.IsReset() {
		c.decide(DropUnknownReset, nil)
		return
	}
	p := c.r.pools[c.addr.Service]
	if p == nil || len(c.r.probes) >= maxProbes || !p.takeProbe(c.now, c.r.set.ProbeRate) {
		c.decide(DropProbeLimit, nil)
		return
	}
	pr := &probe{
		packet:     append([]byte(nil), c.seg.Raw...),
		ack:        c.seg.Ack,
		candidates: p.Order(c.flow),
		began:      c.now,
	}
	if likeliest != 0 {
		rest := slices.DeleteFunc(pr.candidates, func(id uint32) bool { return id == likeliest })
		pr.candidates = append([]uint32{likeliest}, rest...)
	}
	if len(pr.candidates) == 0 {
		c.r.Increment(DropUnknownFlow)
		return
	}
	e := flow.Entry{Key: c.key, Target: pr.candidates[0], LastPacket: tick(c.now), State: flow.Probing}
	if !c.r.store(e) {
		c.r.Increment(DropTableFull)
		return
	}
	c.r.probes[c.key] = pr
	c.decide(RetryProbe, &e)
	c.out.target(c.v, e.Target, c.seg.Raw)
}

func (p *pool) takeProbe(now time.Duration, rate float64) bool {
	p.probes = min(p.probes+rate*(now-p.probeAt).Seconds(), rate)
	p.probeAt = now
	if p.probes < 1 {
		return false
	}
	p.probes--
	return true
}

// probeAgain sends a later packet of a probed flow to the current candidate.
func (c *call) probeAgain(e *flow.Entry) {
	if pr := c.r.probes[e.Key]; pr != nil && c.seg.PayloadLen > 0 {
		pr.packet = append(pr.packet[:0], c.seg.Raw...)
	}
	c.r.store(*e)
	c.out.target(c.v, e.Target, c.seg.Raw)
}

// answersProbe reports whether an answer continues the numbers that the probed packet
// acknowledges. A candidate with a half-open connection of the caller answers too, with
// numbers of its own.
func (c *call) answersProbe(e *flow.Entry) bool {
	p := c.r.probes[e.Key]
	return p == nil || near(c.seg.Seq, p.ack)
}

// foundAtOther ends a probe when another target than the candidate answers with the numbers
// that the caller acknowledged. The candidate's rejection may have gone to a balancer that
// does not probe.
func (c *call) foundAtOther(e *flow.Entry, id uint32) bool {
	plain := !c.seg.IsAccept() && !c.seg.IsReset() && !c.isBare()
	if e.State != flow.Probing || e.Target == id || !plain || !c.answersProbe(e) {
		return false
	}
	delete(c.r.probes, e.Key)
	c.r.remove(e.Key)
	return true
}

// endProbe records the target of a flow that was probed for, and sends it the packet that the
// probe kept: its caller's next copy may be seconds away.
func (c *call) endProbe(e *flow.Entry, id uint32) {
	p := c.r.probes[e.Key]
	delete(c.r.probes, e.Key)
	e.Target, e.State = id, flow.Learned
	c.r.store(*e)
	if p != nil {
		c.out.target(c.v, id, p.packet)
	}
}

// acceptOfProbed reports whether a SYN-ACK shows whose flow is probed for: its target repeats
// it until the caller's acknowledgement comes, which the probe kept from it.
func (c *call) acceptOfProbed(e *flow.Entry) bool {
	p := c.r.probes[e.Key]
	return e.State == flow.Probing && p != nil && c.seg.Seq+1 == p.ack
}

// nobodyHas ends a probe that every candidate rejected with a reset to the
// caller, so that it reconnects rather than hangs.
//
// Failure: a data centre is cut off while the fabric still sprays over both
// parts, and this part resets a flow that lives in the other one. It shows as a
// reset although the flow's own balancers answer. While a whole data centre is
// lost the packet is dropped instead: the caller's next one may reach them.
func (c *call) nobodyHas() {
	if c.v.Partial {
		c.decide(DropUnknownFlow, nil)
		return
	}
	c.decide(ResetUnknown, nil)
	c.out.caller(c.seg.Raw)
}

// probeRejected moves on to the next candidate. A reset with an ACK may come
// from a connection that did accept the segment and was then aborted: on an
// address that is not idempotent it ends the flow instead.
func (c *call) probeRejected(e *flow.Entry) {
	pr := c.r.probes[e.Key]
	aborted := c.seg.Flags&header.TCPFlagAck != 0 && !c.addr.Idempotent
	if pr == nil || aborted || int(e.Probe)+1 >= len(pr.candidates) {
		delete(c.r.probes, e.Key)
		c.r.remove(e.Key)
		c.nobodyHas()
		return
	}
	e.Probe++
	e.Target = pr.candidates[e.Probe]
	c.decide(RetryProbe, e)
	c.r.store(*e)
	c.out.target(c.v, e.Target, pr.packet)
}
