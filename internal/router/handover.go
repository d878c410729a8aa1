package router

import (
	"net/netip"
	"time"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/packet"
)

// Moved is a flow whose home changed, with what the new home cannot learn
// from passing packets. Opening is the caller's opening packet if no target
// has accepted it yet.
type Moved struct {
	Home    int // index of the new home's node
	Caller  netip.AddrPort
	Address netip.AddrPort
	Target  netip.Addr
	Seq     uint32
	State   flow.State
	Wait    time.Duration // left until the admission deadline
	Opening []byte
	Lost    []netip.Addr // targets that left the opening unanswered
}

const (
	// maxMovedStreams bounds the stream flows of one change, at about 60
	// bytes each. Openings and slots have bounds of their own.
	maxMovedStreams = 4096
	// knownAnswers seen at the home mean that several other balancers have
	// seen answers as well, so that the flow needs no handover.
	knownAnswers = 3
)

// recount releases flows that are homed elsewhere now and marks those that
// came here, to be counted with their next packet. It returns what the new
// homes need: unfinished openings, flows that hold slots, and streams that few
// balancers can know and whose target is not their first candidate. The slow
// lock is free between the table's parts, so that a large table does not hold up
// openings.
func (r *Router) recount(now time.Duration, v *View) []Moved {
	var out []Moved
	streams := 0
	for part := range flow.Parts {
		r.mu.Lock()
		r.table.EachInPart(part, func(e *flow.Entry) bool {
			if m, ok := r.recountOne(now, v, e, &streams); ok {
				out = append(out, m)
			}
			return true
		})
		r.mu.Unlock()
	}
	return out
}

func (r *Router) recountOne(now time.Duration, v *View, e *flow.Entry, streams *int) (Moved, bool) {
	a, ok := v.addressByID(e.Key.Address)
	if !ok || e.State == flow.Handed || e.State == flow.Spilled {
		return Moved{}, false
	}
	fh := hashFlow(e.Key.CallerAddr(), a.addr)
	home := v.home(a.homeKey(fh), false)
	if home == v.Self {
		if isLive(e.State) && e.Flags&flow.Counted == 0 {
			e.Flags |= adopt
		}
		return Moved{}, false
	}
	m, ok := r.moved(now, v, e, a, fh, streams)
	m.Home = home
	r.release(e, a.Service, a.Unit())
	if o := r.openings[e.Key]; o != nil {
		r.finish(e.Key, o)
		e.State = flow.Handed
		e.Target = 0
		e.LastPacket = tick(now)
	}
	return m, ok
}

func isLive(s flow.State) bool {
	return s == flow.Open || s == flow.Learned || s == flow.Accepted
}

func (r *Router) moved(now time.Duration, v *View, e *flow.Entry, a located, fh uint64, streams *int) (Moved, bool) {
	m := Moved{Caller: e.Key.CallerAddr(), Address: a.addr, Seq: e.Seq, State: e.State}
	if e.Target != 0 {
		m.Target = v.Targets[e.Target].Addr
	}
	if o := r.openings[e.Key]; o != nil {
		m.Opening = o.packet
		m.Wait = max(o.deadline-now, 0)
		for _, id := range o.lost {
			m.Lost = append(m.Lost, v.Targets[id].Addr)
		}
		return m, true
	}
	if !isLive(e.State) || e.Flags&flow.Counted == 0 {
		return m, false
	}
	if a.Class.UsesSlots() {
		return m, true
	}
	first := uint32(0)
	if p := r.pools[a.Service]; p != nil {
		first = p.First(fh)
	}
	if e.Answers >= knownAnswers || e.Target == first || *streams >= maxMovedStreams {
		return m, false
	}
	*streams++
	return m, true
}

// Take records flows that were handed over to this balancer.
func (r *Router) Take(now time.Duration, ms []Moved, out *Output) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range ms {
		r.take(now, v, &ms[i], out)
	}
}

func (r *Router) take(now time.Duration, v *View, m *Moved, out *Output) {
	a, ok := v.Addresses[m.Address]
	if !ok {
		return
	}
	id := v.TargetIDs[TargetKey{a.Service, m.Target}]
	if id == 0 && m.State != flow.Queued {
		return
	}
	r.Increment(FlowHandedOver)
	k := flow.NewKey(m.Caller, a.ID)
	e, known := r.load(k, k.Hash())
	known = known && e.State != flow.Handed
	if m.Opening != nil {
		r.takeOpening(now, v, m, a, id, e, known, out)
		return
	}
	if known && e.State == flow.Opening && m.State == flow.Accepted && e.Target != id {
		r.yield(now, v, &e, out)
		known = false
	}
	if known && (e.Target != id || e.State == flow.Closing || e.State == flow.Refused) {
		return
	}
	if !known {
		e = flow.Entry{Key: k, Target: id, Seq: m.Seq, State: m.State}
	}
	e.LastPacket = tick(now)
	e.Flags |= flow.HandedOver
	r.hold(&e, a.Service, a.Unit())
	if !r.store(e) {
		r.release(&e, a.Service, a.Unit())
	}
}

// yield ends an opening under way here whose caller was accepted at another
// target by the former home.
//
// Failure: the caller's repeated opening packet reached this balancer before
// the handover. It shows as two targets for one flow, and as a reset of the one
// that the caller uses. This balancer has delivered no acceptance yet.
func (r *Router) yield(now time.Duration, v *View, e *flow.Entry, out *Output) {
	if o := r.openings[e.Key]; o != nil {
		r.abandonTarget(now, v, e, o, out)
		r.finish(e.Key, o)
	}
	r.remove(e.Key)
}

// takeOpening continues an opening. If the caller's repeated packet was faster
// and another target was chosen here, the former target is left alone, and reset
// when its SYN-ACK arrives.
func (r *Router) takeOpening(now time.Duration, v *View, m *Moved, a Address, id uint32, e flow.Entry, known bool, out *Output) {
	seg, err := packet.Parse(m.Opening)
	if err != nil || !seg.IsOpening() {
		return
	}
	if known {
		if o := r.openings[e.Key]; o != nil && m.State == flow.Opening && e.Target != id {
			o.exclude(id)
		}
		return
	}
	p := r.pools[a.Service]
	if p == nil {
		return
	}
	o := &opening{
		packet:   append([]byte(nil), m.Opening...),
		addr:     a,
		flow:     hashFlow(m.Caller, m.Address),
		deadline: now + m.Wait,
	}
	for _, l := range m.Lost {
		if id := v.TargetIDs[TargetKey{a.Service, l}]; id != 0 {
			o.exclude(id)
		}
	}
	e = flow.Entry{Key: flow.NewKey(m.Caller, a.ID), Seq: m.Seq, LastPacket: tick(now), State: m.State}
	if !r.store(e) {
		return
	}
	r.openings[e.Key] = o
	p.opening++
	if m.State == flow.Queued {
		r.place(now, v, &e, o, out)
		return
	}
	e.Target = id
	o.tried = append(o.tried, id)
	o.tries = 1
	o.sentAt = now
	r.hold(&e, a.Service, a.Unit())
	r.store(e)
}
