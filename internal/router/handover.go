package router

import (
	"net/netip"
	"time"

	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/packet"
)

// Moved is a flow whose home changed, with the state that the new home cannot
// learn from forwarded packets. Opening is the caller's opening packet if no
// target has accepted it yet.
type Moved struct {
	Home    int // index of the new home's node
	Caller  netip.AddrPort
	Address netip.AddrPort
	Target  netip.Addr
	Seq     uint32        // as in flow.Entry
	State   flow.State    // flow.Closing if the flow has ended
	Wait    time.Duration // time left until the admission deadline
	Opening []byte
	Lost    []netip.Addr // targets not to be tried again for this opening
}

const (
	// maxMovedStreams is the maximum number of stream flows handed over in one
	// change, at about 60 bytes each. Openings and slots have their own
	// limits.
	maxMovedStreams = 4096
	// knownAnswers is a number of answers. A flow of which the home has
	// forwarded at least as many needs no handover, since several other
	// balancers are assumed to have forwarded some as well and to have learned
	// it.
	knownAnswers = 3
)

// recount releases flows whose home is another balancer after the change, and
// marks those whose home this one became, to be counted with the next packet
// that shows activity. It returns what the new homes need: pending openings,
// flows that use slots, and streams that few other balancers can know and whose
// target is not their first candidate; and flows that ended here lately, which
// the new homes may have counted already. The lock is released between the parts
// of the table, so that a large table does not delay openings.
func (r *Router) recount(now time.Duration, old, v *View) []Moved {
	var out []Moved
	streams, ends := 0, 0
	for part := range flow.Parts {
		r.mu.Lock()
		r.table.EachInPart(part, func(e *flow.Entry) bool {
			if m, ok := r.recountOne(now, v, e, &streams); ok {
				out = append(out, m)
			}
			if m, ok := describeEnd(now, old, v, e); ok && ends < maxMovedEnds {
				out = append(out, m)
				ends++
			}
			return true
		})
		r.mu.Unlock()
	}
	return out
}

// recountOne is recount for one entry. It returns true if its flow is to be
// handed over.
func (r *Router) recountOne(now time.Duration, v *View, e *flow.Entry, streams *int) (Moved, bool) {
	a, ok := v.addressByID(e.Key.Address)
	if !ok || e.State == flow.Handed || e.State == flow.Spilled {
		return Moved{}, false
	}
	flowHash := hashFlow(e.Key.CallerAddr(), a.addr)
	home := v.home(a.homeKey(flowHash), false)
	if home == v.Self {
		if isLive(e.State) && e.Flags&flow.Counted == 0 {
			e.Flags |= uncounted
		}
		return Moved{}, false
	}
	m, ok := r.describeMoved(now, v, e, a, flowHash, streams)
	m.Home = home
	r.release(e, a.Service, a.Unit())
	if o := r.openings[e.Key]; o != nil {
		r.removeOpening(e.Key, o)
		e.State = flow.Handed
		e.Target = 0
		e.LastPacket = tick(now)
	}
	return m, ok
}

func isLive(s flow.State) bool {
	return s == flow.Open || s == flow.Learned || s == flow.Accepted
}

// describeMoved returns the state of a flow whose home is now another balancer,
// and whether it is to be handed over.
func (r *Router) describeMoved(now time.Duration, v *View, e *flow.Entry, a serviceAddress, flowHash uint64, streams *int) (Moved, bool) {
	m := Moved{Caller: e.Key.CallerAddr(), Address: a.addr, Seq: e.Seq, State: e.State}
	if e.Target != 0 {
		m.Target = v.Targets[e.Target].Addr
	}
	if o := r.openings[e.Key]; o != nil {
		m.Opening = o.packet
		m.Wait = max(o.deadline-now, 0)
		for _, id := range o.excluded {
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
		first = p.First(flowHash)
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
	k := flow.NewKey(m.Caller, a.ID)
	e, known := r.load(k, k.Hash())
	known = known && !isMarker(e.State)
	if m.State == flow.Closing {
		e.Key = k
		r.takeEnd(now, v, a, e, known, m, id, out)
		return
	}
	r.Increment(FlowHandedOver)
	if m.Opening != nil {
		r.takeOpening(now, v, m, a, id, e, known, out)
		return
	}
	if known && e.State == flow.Opening && m.State == flow.Accepted && e.Target != id {
		r.yieldOpening(now, v, &e, out)
		known = false
	}
	if known && (e.Target != id || e.State == flow.Closing || e.State == flow.Refused) {
		return
	}
	if !known {
		e = flow.Entry{Key: k, Target: id, Seq: m.Seq, State: m.State}
	}
	e.LastPacket = tick(now)
	e.Flags |= flow.HandedOver | elsewhere // the view may not have changed here yet
	r.acquire(&e, a.Service, a.Unit())
	if !r.store(e) {
		r.release(&e, a.Service, a.Unit())
	}
}

// yieldOpening ends an opening that is pending here if the former home has
// delivered another target's SYN-ACK to its caller.
//
// The caller's retransmitted opening packet may reach this balancer before the
// handover, so that the flow has two targets. Without this, the one that the
// caller uses would be reset. This balancer has not delivered a SYN-ACK yet.
func (r *Router) yieldOpening(now time.Duration, v *View, e *flow.Entry, out *Output) {
	if o := r.openings[e.Key]; o != nil {
		r.abandonTarget(now, v, e, o, out)
		r.removeOpening(e.Key, o)
	}
	r.remove(e.Key)
}

// takeOpening continues an opening that was handed over. If a retransmission
// by the caller arrived earlier and another target was chosen for it, the
// former home's target is excluded, and reset when its SYN-ACK arrives.
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
		flowHash: hashFlow(m.Caller, m.Address),
		deadline: now + m.Wait,
	}
	for _, l := range m.Lost {
		if id := v.TargetIDs[TargetKey{a.Service, l}]; id != 0 {
			o.exclude(id)
		}
	}
	e = flow.Entry{Key: flow.NewKey(m.Caller, a.ID), Seq: m.Seq, LastPacket: tick(now), State: m.State, Flags: elsewhere}
	if !r.store(e) {
		return
	}
	r.openings[e.Key] = o
	p.openingCount++
	if m.State == flow.Queued {
		r.dispatchOrQueue(now, v, &e, o, out)
		return
	}
	e.Target = id
	o.tried = append(o.tried, id)
	o.tries = 1
	o.sentAt = now
	r.acquire(&e, a.Service, a.Unit())
	r.store(e)
}
