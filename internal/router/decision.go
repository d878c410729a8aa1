package router

import (
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"rosedale.dev/rosedale/internal/flow"
)

// Decision is what was decided on one flow, and by what: for the log.
type Decision struct {
	Reason  Reason
	Caller  netip.AddrPort
	Address netip.AddrPort
	Target  netip.Addr // on record, or invalid
	State   flow.State // on record, 0 if the flow is not known
	Seq     uint32     // on record
	Idle    time.Duration
	// Packet in hand, if there is one: who sent it, its numbers and flags.
	Sender    netip.Addr // target; invalid for a caller's
	Flags     header.TCPFlags
	Sent      uint32
	Ack       uint32
	Hops      uint8
	HasPacket bool
}

// decide counts a decision on the packet in hand and reports it. e is the flow's record,
// or nil.
func (c *call) decide(why Reason, e *flow.Entry) {
	c.r.Increment(why)
	d := Decision{Reason: why, Caller: c.key.CallerAddr(), HasPacket: true}
	d.Flags, d.Sent, d.Ack, d.Hops = c.seg.Flags, c.seg.Seq, c.seg.Ack, c.hop.Count
	if c.sender != 0 {
		d.Sender = c.v.Targets[c.sender].Addr
	}
	d.record(c.now, c.v, c.key, e)
	c.out.Decisions = append(c.out.Decisions, d)
}

// decide counts a decision that no packet led to and reports it.
func (r *Router) decide(now time.Duration, why Reason, e *flow.Entry, out *Output) {
	r.Increment(why)
	d := Decision{Reason: why, Caller: e.Key.CallerAddr()}
	d.record(now, r.view.Load(), e.Key, e)
	out.Decisions = append(out.Decisions, d)
}

// record adds what is known of a flow.
func (d *Decision) record(now time.Duration, v *View, k flow.Key, e *flow.Entry) {
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
