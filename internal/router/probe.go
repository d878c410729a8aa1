package router

import (
	"slices"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/flow"
)

const (
	// maxProbes is the maximum number of flows that are probed at a time.
	maxProbes = 4096
	// probeExpiry is the age at which a probe is deleted.
	probeExpiry = 30 * time.Second
)

// probe is the search for the target of an unknown flow, with a packet of that
// flow.
type probe struct {
	packet     []byte // the last one with payload, or else the first
	ack        uint32 // acknowledgement number of the first packet: the target's next sequence number
	candidates []uint32
	startedAt  time.Duration
}

// probeUnknown starts to probe the candidate targets of a flow that no
// balancer asked knows, or that does not exist.
//
// This is needed when the home dies before any other balancer has seen an
// answer. A target without the connection rejects the segment with a reset and
// has processed nothing, so that the next candidate may be tried; the target
// that has the flow accepts it. A missing answer is no rejection: the packet
// is then not sent to any other target. The likeliest target, if not 0, is
// tried first.
func (c *call) probeUnknown(likeliest uint32) {
	if c.seg.IsReset() {
		c.report(DropUnknownReset, nil)
		return
	}
	p := c.r.pools[c.addr.Service]
	if p == nil || len(c.r.probes) >= maxProbes || !p.allowProbe(c.now, c.r.settings.ProbeRate) {
		c.report(DropProbeLimit, nil)
		return
	}
	pr := &probe{
		packet:     append([]byte(nil), c.seg.Raw...),
		ack:        c.seg.Ack,
		candidates: p.Order(c.flowHash),
		startedAt:  c.now,
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
	c.report(RetryProbe, &e)
	c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
}

func (p *pool) allowProbe(now time.Duration, rate float64) bool {
	p.probeTokens = min(p.probeTokens+rate*(now-p.probeRefilledAt).Seconds(), rate)
	p.probeRefilledAt = now
	if p.probeTokens < 1 {
		return false
	}
	p.probeTokens--
	return true
}

// forwardToCandidate sends a further packet of a probed flow to the current
// candidate.
func (c *call) forwardToCandidate(e *flow.Entry) {
	if pr := c.r.probes[e.Key]; pr != nil && c.seg.PayloadLen > 0 {
		pr.packet = append(pr.packet[:0], c.seg.Raw...)
	}
	c.r.store(*e)
	c.out.sendToTarget(c.v, e.Target, c.seg.Raw)
}

// answersProbe reports whether an answer continues the numbers that the probed
// packet acknowledges. A candidate with a half-open connection of the caller
// also answers, but with its own numbers.
func (c *call) answersProbe(e *flow.Entry) bool {
	p := c.r.probes[e.Key]
	return p == nil || seqNear(c.seg.Seq, p.ack)
}

// answeredByOther ends a probe when a target other than the candidate answers
// with the numbers that the caller acknowledged. It reports whether it did.
// The candidate's rejection may have gone to a balancer that does not probe.
func (c *call) answeredByOther(e *flow.Entry, id uint32) bool {
	hasData := !c.seg.IsAccept() && !c.seg.IsReset() && !c.isBareAck()
	if e.State != flow.Probing || e.Target == id || !hasData || !c.answersProbe(e) {
		return false
	}
	delete(c.r.probes, e.Key)
	c.r.remove(e.Key)
	return true
}

// endProbe records the target of a probed flow and sends it the packet kept by
// the probe, since the caller's next retransmission may be seconds away.
func (c *call) endProbe(e *flow.Entry, id uint32) {
	p := c.r.probes[e.Key]
	delete(c.r.probes, e.Key)
	e.Target, e.State = id, flow.Learned
	c.r.store(*e)
	if p != nil {
		c.out.sendToTarget(c.v, id, p.packet)
	}
}

// acceptEndsProbe reports whether a SYN-ACK comes from the target that has the
// probed flow. That target retransmits it because the caller's acknowledgement
// was sent to another candidate.
func (c *call) acceptEndsProbe(e *flow.Entry) bool {
	p := c.r.probes[e.Key]
	return e.State == flow.Probing && p != nil && c.seg.Seq+1 == p.ack
}

// rejectUnknown passes the reset that ended a probe to the caller, so that it
// reconnects instead of hanging.
//
// When a data centre is cut off, the fabric may still distribute packets over
// both parts of the network, and the balancers of this part must not reset a
// flow whose target is in the other one. While a whole data centre is
// unreachable the reset is dropped instead: the caller's next packet may reach
// a balancer that knows the flow.
func (c *call) rejectUnknown() {
	if c.v.Partial {
		c.report(DropUnknownFlow, nil)
		return
	}
	c.report(ResetUnknown, nil)
	c.out.sendToCaller(c.seg.Raw)
}

// probeRejected sends the probed packet to the next candidate. If there is none,
// it ends the probe. A reset with ACK may come from a connection that accepted
// the segment and was then aborted; on an address that is not idempotent it
// ends the probe as well.
func (c *call) probeRejected(e *flow.Entry) {
	pr := c.r.probes[e.Key]
	aborted := c.seg.Flags&header.TCPFlagAck != 0 && !c.addr.Idempotent
	if pr == nil || aborted || int(e.Probe)+1 >= len(pr.candidates) {
		delete(c.r.probes, e.Key)
		c.r.remove(e.Key)
		c.rejectUnknown()
		return
	}
	e.Probe++
	e.Target = pr.candidates[e.Probe]
	c.report(RetryProbe, e)
	c.r.store(*e)
	c.out.sendToTarget(c.v, e.Target, pr.packet)
}
