// Package router decides what a balancer does with each packet. It does no
// I/O and reads no clock: packets, views and the time go in, actions come
// out. The daemon, the tests and the model checker run the same code.
package router

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/geneve"
	"rosedale.dev/rosedale/internal/packet"
)

// Settings bounds a Router. The zero value of a field takes its default.
type Settings struct {
	MaxFlows      int           // entries of the flow table
	MaxOpenings   int           // unfinished openings of one service
	MaxAsk        int           // balancers asked for an unknown flow
	OpenTimeout   time.Duration // silence of a target after which an opening is retried
	MaxTries      int           // targets tried for one opening
	StreamIdle    time.Duration // idle stream flows are kept this long
	RequestIdle   time.Duration // idle request flows are kept this long
	SilentAfter   time.Duration // a segment repeated this long without an answer shows a silent flow
	DeadAfter     time.Duration // the same when the target answers nobody
	ProbeRate     float64       // probes a second for each service
	AliveInterval time.Duration // control's longest pause before this node doubts itself
}

// Defaults returns s with defaults in place of zero values.
func (s Settings) Defaults() Settings {
	def(&s.MaxFlows, 1<<20)
	def(&s.MaxOpenings, 4096)
	def(&s.MaxAsk, 3)
	def(&s.OpenTimeout, 500*time.Millisecond)
	def(&s.MaxTries, 4)
	def(&s.StreamIdle, 15*time.Minute)
	def(&s.RequestIdle, time.Minute)
	def(&s.SilentAfter, 3*time.Second)
	def(&s.DeadAfter, 30*time.Second)
	def(&s.ProbeRate, 2000)
	def(&s.AliveInterval, time.Second)
	return s
}

func def[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Router is one balancer's data-path state. Handle may be called by several
// traffic goroutines: packets of known flows take only their shard's lock,
// everything else takes mu.
type Router struct {
	set    Settings
	view   atomic.Pointer[View]
	alive  atomic.Int64 // time of control's last sign of life
	table  *flow.Table
	counts [reasonCount]atomic.Uint64

	mu       sync.Mutex
	pools    map[uint32]*pool
	openings map[flow.Key]*opening
	probes   map[flow.Key]*probe
	silences map[flow.Key]*silence
	suspects map[flow.Key]*silence // of these, those that the home repeats
	sweepAt  int
	sweptAt  time.Duration
}

// New returns a Router without a view; SetView must come before Handle.
func New(s Settings) *Router {
	s = s.Defaults()
	return &Router{
		set:      s,
		table:    flow.NewTable(s.MaxFlows),
		pools:    map[uint32]*pool{},
		openings: map[flow.Key]*opening{},
		probes:   map[flow.Key]*probe{},
		silences: map[flow.Key]*silence{},
		suspects: map[flow.Key]*silence{},
	}
}

// pool is a service's targets with the limit on its probes.
type pool struct {
	*balance.Pool
	opening int
	probes  float64 // tokens
	probeAt time.Duration
}

// Alive notes that control is running. Without it for AliveInterval the node
// was paused, so that peers may have replaced it: it then decides nothing
// while a peer can.
func (r *Router) Alive(now time.Duration) { r.alive.Store(int64(now)) }

func (r *Router) doubt(now time.Duration) bool {
	return now-time.Duration(r.alive.Load()) > r.set.AliveInterval
}

// Count returns how often reason occurred.
func (r *Router) Count(reason Reason) uint64 { return r.counts[reason].Load() }

// Increment counts a reason that the sockets' side found.
func (r *Router) Increment(reason Reason) { r.counts[reason].Add(1) }

// Flows returns the number of entries in the flow table.
func (r *Router) Flows() int { return r.table.Len() }

func tick(now time.Duration) uint32 { return uint32(now / flow.TickLength) }

// call is the state of one Handle call.
type call struct {
	r    *Router
	v    *View
	now  time.Duration
	out  *Output
	seg  packet.Segment
	addr *Address
	key  flow.Key
	hash uint64 // of key, for the table
	flow uint64 // of the flow, alike in every process
	home int
	// sender is the target that the packet came from, 0 for a caller's.
	sender uint32
	hop    geneve.Hop
	has    bool // hop is set
	// spilled: another group passed the packet on, which counts as if the
	// fabric had sent it.
	spilled bool
}

// Handle decides on one datagram that arrived from source. It appends actions
// to out and allocates nothing for packets of known flows.
func (r *Router) Handle(now time.Duration, source netip.Addr, d *geneve.Datagram, out *Output) {
	c := call{r: r, v: r.view.Load(), now: now, out: out, hop: d.Hop, has: d.HasHop}
	if err := c.seg.Decode(d.Inner); err != nil {
		r.Increment(packetReason(err))
		return
	}
	if d.HasHop && d.Hop.Flags&geneve.FlagSpilled != 0 {
		c.has = false
		c.spilled = true
		c.fromCaller()
		return
	}
	switch {
	case d.HasHop && (d.Hop.Kind == geneve.Answer || d.Hop.Kind == geneve.Correct):
		c.fromTarget(d.VNI, d.Hop.Target)
	case d.HasHop && d.Hop.Kind > geneve.Correct:
		r.Increment(DropHopKind)
	case d.VNI == 0 || d.HasHop:
		c.fromCaller()
	default:
		c.fromTarget(d.VNI, source)
	}
}

func (c *call) fromCaller() {
	if c.addr = c.v.address(c.seg.Dst); c.addr == nil {
		c.r.Increment(DropUnknownAddress)
		return
	}
	c.key = flow.NewKey(c.seg.Src, c.addr.ID)
	c.hash = c.key.Hash()
	if !c.seg.IsOpening() && !c.seg.IsReset() && c.forwardKnown() {
		return
	}
	c.locate(c.seg.Src, c.seg.Dst)
	c.callerSlow()
}

// forwardKnown sends a caller's packet to its recorded target.
func (c *call) forwardKnown() bool {
	if c.has && c.hop.Kind != geneve.Ask {
		return false
	}
	s := c.r.table.Shard(c.hash)
	s.Lock()
	e := s.Get(c.key, c.hash)
	if e == nil || e.State != flow.Open && e.State != flow.Learned && e.State != flow.Closing || e.Flags&adopt != 0 {
		s.Unlock()
		return false
	}
	if !sameIncarnation(e, c.seg.Seq) {
		s.Unlock()
		return false
	}
	e.LastPacket = tick(c.now)
	id := e.Target
	quiet := c.seg.PayloadLen > 0 && e.State != flow.Closing && e.LastPacket-e.LastAnswer > quietTicks
	s.Unlock()
	if quiet {
		return false
	}
	c.out.target(c.v, id, c.seg.Raw)
	return true
}

// seqSpan bounds how far a caller's numbers move between two answers.
const seqSpan = 1 << 24

// sameIncarnation reports whether a caller's packet belongs to the flow that
// the entry records.
//
// Failure: a caller uses a port again soon after its flow ended, the new flow
// has another target, and a balancer that did not see the end still has the
// old one. It shows as a jump of the caller's sequence numbers, which begin at
// a random place in each flow. The packet then goes to the home, through which
// the new opening passed.
func sameIncarnation(e *flow.Entry, seq uint32) bool {
	return e.Seq == 0 || near(seq, e.Seq)
}

// near reports whether two sequence numbers of one direction may belong to one flow.
func near(a, b uint32) bool { return a-b < seqSpan || b-a < seqSpan }

func (c *call) fromTarget(vni uint32, from netip.Addr) {
	c.addr = c.v.address(c.seg.Src)
	if c.addr == nil || c.addr.Service != vni {
		c.noteForeign(vni)
		return
	}
	id, ok := c.v.TargetIDs[TargetKey{vni, from.Unmap()}]
	if !ok {
		c.r.Increment(DropForeignTarget)
		return
	}
	c.sender = id
	c.key = flow.NewKey(c.seg.Dst, c.addr.ID)
	c.hash = c.key.Hash()
	special := c.seg.IsAccept() || c.seg.IsReset() || c.seg.IsFin()
	if !special && !c.has && c.answerKnown(id) {
		return
	}
	c.locate(c.seg.Dst, c.seg.Src)
	c.noteAnswer(id)
	c.answerSlow(id)
}

// noteForeign counts an answer that does not fit its number.
func (c *call) noteForeign(vni uint32) {
	if _, ok := c.v.Services[vni]; !ok {
		c.r.Increment(DropForeignNumber)
		return
	}
	c.r.Increment(DropUnknownAddress)
}

// answerKnown sends a target's packet to its caller if the target is the
// recorded one.
func (c *call) answerKnown(id uint32) bool {
	s := c.r.table.Shard(c.hash)
	s.Lock()
	e := s.Get(c.key, c.hash)
	if e == nil || e.Target != id || e.State != flow.Open && e.State != flow.Learned && e.State != flow.Closing || e.Flags&adopt != 0 {
		s.Unlock()
		return false
	}
	e.LastPacket = tick(c.now)
	e.LastAnswer = e.LastPacket
	if e.Answers < 255 {
		e.Answers++
	}
	if c.seg.HasAck() {
		e.Seq = c.seg.Ack
	}
	s.Unlock()
	c.noteAnswer(id)
	c.out.caller(c.seg.Raw)
	return true
}

// answerGrain keeps traffic goroutines from writing one word all the time.
const answerGrain = int64(50 * time.Millisecond)

func (c *call) noteAnswer(id uint32) {
	at := c.v.Targets[id].Answered
	if int64(c.now)-at.Load() > answerGrain {
		at.Store(int64(c.now))
	}
}

func (c *call) locate(caller, address netip.AddrPort) {
	c.flow = hashFlow(caller, address)
	c.home = c.v.home(c.addr.homeKey(c.flow), c.r.doubt(c.now))
}

func (c *call) isHome() bool { return c.home == c.v.Self }
