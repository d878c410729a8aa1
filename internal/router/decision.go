package router

import (
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/flow"
)

// Decision is a decision on one flow and the state it was based on, for the
// log.
type Decision struct {
	Reason  Reason
	Caller  netip.AddrPort
	Address netip.AddrPort // service address
	Target  netip.Addr     // recorded target, or invalid
	State   flow.State     // recorded state, 0 if the flow is unknown
	Seq     uint32         // recorded sequence number
	Idle    time.Duration  // since the flow's last packet
	// The packet that led to the decision, if any: its sender, numbers and
	// flags.
	Sender    netip.Addr // target, or invalid if the caller sent it
	Flags     header.TCPFlags
	Sent      uint32 // sequence number
	Ack       uint32 // acknowledgement number
	Hops      uint8  // balancers that passed the packet on
	HasPacket bool   // the fields from Sender to Hops are set
}

// report counts a decision on the current packet and adds it to the output. e
// is the flow's entry, or nil.
func (c *call) report(why Reason, e *flow.Entry) {
	c.r.Increment(why)
	d := Decision{Reason: why, Caller: c.key.CallerAddr(), HasPacket: true}
	d.Flags, d.Sent, d.Ack, d.Hops = c.seg.Flags, c.seg.Seq, c.seg.Ack, c.hop.Count
	if c.sender != 0 {
		d.Sender = c.v.Targets[c.sender].Addr
	}
	d.describe(c.now, c.v, c.key, e)
	c.out.Decisions = append(c.out.Decisions, d)
}

// report counts a decision that was not caused by a packet and adds it to the
// output.
func (r *Router) report(now time.Duration, why Reason, e *flow.Entry, out *Output) {
	r.Increment(why)
	d := Decision{Reason: why, Caller: e.Key.CallerAddr()}
	d.describe(now, r.view.Load(), e.Key, e)
	out.Decisions = append(out.Decisions, d)
}

// describe adds the flow's address and recorded state to d.
func (d *Decision) describe(now time.Duration, v *View, k flow.Key, e *flow.Entry) {
	if a, ok := v.addressByID(k.Address); ok {
		d.Address = a.addr
	}
	if e == nil || e.State == 0 {
		return
	}
	d.State, d.Seq = e.State, e.Seq
	d.Idle = now - time.Duration(e.LastPacket)*flow.TickLength
	if e.Target != 0 {
		d.Target = v.Targets[e.Target].Addr
	}
}
