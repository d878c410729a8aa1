// Package router decides what rosedaled does with each packet. It does no I/O and reads no clock:
// its inputs are packets, views and the time, and its outputs are actions. The daemon, the tests
// and the model checker run the same code.
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

// Settings holds the limits and timeouts of a Router. A zero field takes its default.
type Settings struct {
	MaxFlows      int           // entries of the flow table
	MaxOpenings   int           // pending openings of one service
	MaxAsk        int           // balancers asked for an unknown flow
	OpenTimeout   time.Duration // time without an answer after which an opening is retried
	MaxTries      int           // attempts for one opening, at different targets or the same
	StreamIdle    time.Duration // time for which idle stream flows are kept
	RequestIdle   time.Duration // time for which idle request flows are kept
	SilentAfter   time.Duration // time of unanswered retransmissions after which a flow is reset
	DeadAfter     time.Duration // the same if the target answers no other flow either
	ProbeRate     float64       // probes per second for each service
	AliveInterval time.Duration // time without a call of Alive after which peers may have replaced this node
}

// Defaults returns s with defaults in place of zero fields.
func (s Settings) Defaults() Settings {
	setDefault(&s.MaxFlows, 1<<20)
	setDefault(&s.MaxOpenings, 4096)
	setDefault(&s.MaxAsk, 3)
	setDefault(&s.OpenTimeout, 500*time.Millisecond)
	setDefault(&s.MaxTries, 4)
	setDefault(&s.StreamIdle, 15*time.Minute)
	setDefault(&s.RequestIdle, time.Minute)
	setDefault(&s.SilentAfter, 3*time.Second)
	setDefault(&s.DeadAfter, 30*time.Second)
	setDefault(&s.ProbeRate, 2000)
	setDefault(&s.AliveInterval, time.Second)
	return s
}

func setDefault[T int | float64 | time.Duration](p *T, v T) {
	if *p == 0 {
		*p = v
	}
}

// Router is one balancer's data-path state. Handle may be called by several traffic goroutines:
// packets of known flows lock only their table shard, and most others lock mu.
type Router struct {
	settings Settings
	view     atomic.Pointer[View]
	alive    atomic.Int64 // time of the last call of Alive
	table    *flow.Table
	counts   [reasonCount]atomic.Uint64

	mu              sync.Mutex
	pools           map[uint32]*pool
	openings        map[flow.Key]*opening
	probes          map[flow.Key]*probe
	retransmissions map[flow.Key]*retransmission
	suspects        map[flow.Key]*retransmission // of these, those whose segments the home retransmits
	sweepAt         int
	sweptAt         time.Duration
}

// New returns a Router without a view; SetView must be called before Handle.
func New(s Settings) *Router {
	s = s.Defaults()
	return &Router{
		settings:        s,
		table:           flow.NewTable(s.MaxFlows),
		pools:           map[uint32]*pool{},
		openings:        map[flow.Key]*opening{},
		probes:          map[flow.Key]*probe{},
		retransmissions: map[flow.Key]*retransmission{},
		suspects:        map[flow.Key]*retransmission{},
	}
}

// pool is the targets of one service, with the number of its pending openings
// and the token bucket of its probes.
type pool struct {
	*balance.Pool
	openingCount    int
	probeTokens     float64
	probeRefilledAt time.Duration
}

// isUnservable reports whether the service has no targets, so that none can become free, and no
// other group has any.
func (p *pool) isUnservable(v *View, service uint32) bool { return p.Empty() && !v.canSpill(service) }

// Alive records that the control loop is running. If the last call was more
// than AliveInterval ago, this process may have been paused and replaced by its
// peers; it then leaves decisions on flows to peers, if there are any.
func (r *Router) Alive(now time.Duration) { r.alive.Store(int64(now)) }

func (r *Router) controlStalled(now time.Duration) bool {
	return now-time.Duration(r.alive.Load()) > r.settings.AliveInterval
}

// Count returns how often reason has occurred.
func (r *Router) Count(reason Reason) uint64 { return r.counts[reason].Load() }

// Increment counts a reason. The forwarding plane uses it for datagrams that do not reach Handle.
func (r *Router) Increment(reason Reason) { r.counts[reason].Add(1) }

// Flows returns the number of entries in the flow table.
func (r *Router) Flows() int { return r.table.Len() }

func tick(now time.Duration) uint32 { return uint32(now / flow.TickLength) }

// call is the state of one Handle call.
type call struct {
	r        *Router
	v        *View
	now      time.Duration
	out      *Output
	seg      packet.Segment
	addr     *Address
	key      flow.Key
	keyHash  uint64 // hash of key, for the table
	flowHash uint64 // hash of the flow, the same in every process
	home     int
	// sender is the target that sent the packet, or 0 if the caller did.
	sender uint32
	hop    geneve.Hop
	hasHop bool // hop is set
	// spilled: another group passed the packet on. It is handled as if it came from the fabric.
	spilled bool
}

// Handle decides on one datagram received from source. It appends the actions
// to out, and allocates nothing for packets of known flows.
func (r *Router) Handle(now time.Duration, source netip.Addr, d *geneve.Datagram, out *Output) {
	c := call{r: r, v: r.view.Load(), now: now, out: out, hop: d.Hop, hasHop: d.HasHop}
	if err := c.seg.Decode(d.Inner); err != nil {
		r.Increment(packetReason(err))
		return
	}
	if d.HasHop && d.Hop.Flags&geneve.FlagSpilled != 0 {
		c.hasHop = false
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
	c.keyHash = c.key.Hash()
	if !c.seg.IsOpening() && !c.seg.IsReset() && c.forwardKnown() {
		return
	}
	c.findHome(c.seg.Src, c.seg.Dst)
	c.callerSlow()
}

// forwardKnown is the fast path for callers' packets: it sends the packet to the flow's recorded
// target. It returns false if the packet needs the slow path.
func (c *call) forwardKnown() bool {
	if c.hasHop && c.hop.Kind != geneve.Ask {
		return false
	}
	s := c.r.table.Shard(c.keyHash)
	s.Lock()
	e := s.Get(c.key, c.keyHash)
	if e == nil || e.State != flow.Open && e.State != flow.Learned && e.State != flow.Closing || e.Flags&uncounted != 0 {
		s.Unlock()
		return false
	}
	if !matchesEntry(e, c.seg.Seq) {
		s.Unlock()
		return false
	}
	e.LastPacket = tick(c.now)
	id := e.Target
	// The home checks whether a flow without recent answers is silent.
	quiet := c.seg.PayloadLen > 0 && e.State != flow.Closing && e.LastPacket-e.LastAnswer > quietTicks
	s.Unlock()
	if quiet {
		return false
	}
	c.out.sendToTarget(c.v, id, c.seg.Raw)
	return true
}

// maxSeqDistance bounds the change in a caller's sequence numbers between two answers.
const maxSeqDistance = 1 << 24

// matchesEntry reports whether a sequence number of the caller belongs to the
// flow that the entry records.
//
// If a caller reuses a port soon after its flow ended, the new flow may have another target, while
// a balancer that did not see the end still has the old one. The caller's sequence numbers then
// differ widely, since they start at a random value in each flow. The packet is passed to the home,
// which has handled the new opening.
func matchesEntry(e *flow.Entry, seq uint32) bool {
	return e.Seq == 0 || seqNear(seq, e.Seq)
}

// seqNear reports whether two sequence numbers of one direction may belong to the same flow.
func seqNear(a, b uint32) bool { return a-b < maxSeqDistance || b-a < maxSeqDistance }

func (c *call) fromTarget(vni uint32, from netip.Addr) {
	c.addr = c.v.address(c.seg.Src)
	if c.addr == nil || c.addr.Service != vni {
		c.countForeign(vni)
		return
	}
	id, ok := c.v.TargetIDs[TargetKey{vni, from.Unmap()}]
	if !ok {
		c.r.Increment(DropForeignTarget)
		return
	}
	c.sender = id
	c.key = flow.NewKey(c.seg.Dst, c.addr.ID)
	c.keyHash = c.key.Hash()
	special := c.seg.IsAccept() || c.seg.IsReset() || c.seg.IsFin()
	if !special && !c.hasHop && c.answerKnown(id) {
		return
	}
	c.findHome(c.seg.Dst, c.seg.Src)
	c.recordAnswerTime(id)
	c.answerSlow(id)
}

// countForeign counts an answer whose source address does not belong to the service with its VNI.
func (c *call) countForeign(vni uint32) {
	if _, ok := c.v.Services[vni]; !ok {
		c.r.Increment(DropForeignNumber)
		return
	}
	c.r.Increment(DropUnknownAddress)
}

// answerKnown is the fast path for answers: it sends the packet to the caller if it comes from the
// recorded target. It returns false if the packet needs the slow path.
func (c *call) answerKnown(id uint32) bool {
	s := c.r.table.Shard(c.keyHash)
	s.Lock()
	e := s.Get(c.key, c.keyHash)
	if e == nil || e.Target != id || e.State != flow.Open && e.State != flow.Learned && e.State != flow.Closing || e.Flags&uncounted != 0 {
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
	c.recordAnswerTime(id)
	c.out.sendToCaller(c.seg.Raw)
	return true
}

// answeredResolution is the resolution of Target.Answered. It keeps traffic
// goroutines from writing to the same memory for every packet.
const answeredResolution = int64(50 * time.Millisecond)

func (c *call) recordAnswerTime(id uint32) {
	at := c.v.Targets[id].Answered
	if int64(c.now)-at.Load() > answeredResolution {
		at.Store(int64(c.now))
	}
}

// findHome sets the flow's hash and home.
func (c *call) findHome(caller, address netip.AddrPort) {
	c.flowHash = hashFlow(caller, address)
	c.home = c.v.home(c.addr.homeKey(c.flowHash), c.r.controlStalled(c.now))
}

func (c *call) isHome() bool { return c.home == c.v.Self }
