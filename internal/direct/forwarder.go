// Package direct decides where a caller's packets go when targets answer callers directly, so
// that balancers see only one direction of each flow. The target of a flow is chosen on its
// opening packet and named by a cookie that all later packets carry, so that any balancer can
// forward any flow. The package does no I/O and reads no clock: packets, updates and the time
// are passed in, and decisions are returned.
package direct

import (
	"cmp"
	"math/rand/v2"
	"time"

	"rosedale.dev/rosedale/internal/slowstart"
)

// Config holds the parameters of a Forwarder. All times passed to its methods are readings of
// one monotonic clock with an arbitrary origin.
type Config struct {
	DataCenter string
	FlowMaxAge time.Duration // idle time after which a flow may be forgotten
	Heartbeat  time.Duration // interval of the targets' heartbeats; 0 for defaultHeartbeat
	Drain      time.Duration // how long a target serves at least after it announced that it leaves; 0 if unknown
	MaxFlows   int           // maximum size of the flow table
	Seed       uint64
	// Times receives measured times; nil discards them.
	Times   Times
	Without MechanismSet // feature switches that are off
}

// Forwarder decides what to do with packets. It is not safe for concurrent use.
type Forwarder struct {
	dataCenter  string
	flowMaxAge  time.Duration
	maxFlows    int
	randomState *rand.PCG // of rng
	rng         *rand.Rand

	catalogue      *Catalogue // nil until the first version arrives
	targets        map[TargetID]*target
	cookies        map[Cookie]*target
	services       map[string]*service
	centres        map[string]*centre
	flows          map[FlowKey]*flow
	lastAlive      time.Duration // last sign of life of any target
	showedLife     bool          // there was one
	counts         [reasonCount]uint64
	nextSweep      time.Duration
	measuredAt     time.Duration    // last run of measureWork
	suspects       map[*target]bool // targets that TargetsToCheck considers
	listCompleteAt time.Duration    // see SetListCompleteAt
	lapses         lapses
	drainTime      time.Duration            // see Config.Drain
	unknownCookies map[Cookie]time.Duration // first seen, for cookies without a target
	// invalidRegistrations are targets whose registration was invalid when it arrived, and which
	// this balancer does not have in targets, by cookie.
	invalidRegistrations map[Cookie]TargetID
	routelessFlows       map[FlowKey]time.Duration // first seen, for open flows without a route

	pendingOpenings waitQueue     // unanswered openings
	busyRequests    waitQueue     // requests counted as in flight
	openingTime     time.Duration // smoothed time from an opening to the caller's next packet
	checksDue       bool          // see ChecksDue
	checksRunning   int
	link            ownLink
	flowSpread      int // see SetFlowSpread
	owners          slowstart.Owners
	fleetVersion    int // number of SetBalancers calls
	outcomes        outcomeTracker

	clock    time.Duration // latest time passed to Handle, Tick or Releases
	position fleetPosition
	gates    []*serviceGate // of all services that have one, in the order of creation
	held     map[FlowKey]*held
	due      []Release // for the next call of Releases
	released []Release // result of the last one
	arcIDs   []uint64  // buffer of arcOf
	below    []*target // buffer of soonest

	times   Times
	without MechanismSet
}

// New returns a Forwarder without catalogue and targets.
func New(c Config) *Forwarder {
	if c.Times == nil {
		c.Times = noTimes{}
	}
	random := rand.NewPCG(c.Seed, 1)
	return &Forwarder{
		dataCenter:           c.DataCenter,
		flowMaxAge:           c.FlowMaxAge,
		maxFlows:             c.MaxFlows,
		randomState:          random,
		rng:                  rand.New(random),
		targets:              map[TargetID]*target{},
		cookies:              map[Cookie]*target{},
		services:             map[string]*service{},
		centres:              map[string]*centre{},
		flows:                map[FlowKey]*flow{},
		unknownCookies:       map[Cookie]time.Duration{},
		invalidRegistrations: map[Cookie]TargetID{},
		routelessFlows:       map[FlowKey]time.Duration{},
		suspects:             map[*target]bool{},
		drainTime:            c.Drain,
		lapses:               lapses{gap: cmp.Or(c.Heartbeat, defaultHeartbeat)},
		openingTime:          initialOpeningTime,
		flowSpread:           1,
		outcomes:             newOutcomeTracker(),
		position:             fleetPosition{rank: int(mix(c.Seed) % unknownFleet), balancers: unknownFleet},
		held:                 map[FlowKey]*held{},
		times:                c.Times,
		without:              c.Without,
	}
}

// Count returns how many packets were handled for a reason. A flow that is reset without a
// packet, because its target died or restarted, counts as one.
func (f *Forwarder) Count(r Reason) uint64 { return f.counts[r] }

// CountAnswers returns how many requests ended with an outcome.
func (f *Forwarder) CountAnswers(a Answer) uint64 { return f.outcomes.counts[a] }

// Flows returns the number of flows in the table.
func (f *Forwarder) Flows() int { return len(f.flows) }

// Handle returns the decision on a caller's packet.
func (f *Forwarder) Handle(now time.Duration, s *Segment) Decision {
	f.clock = now
	f.checkOverdue(now)
	d := f.decide(now, s)
	f.counts[d.Reason]++
	if f.catalogue != nil {
		d.Version = f.catalogue.Version
	}
	return d
}

// Malformed counts a datagram that could not be decoded as a packet.
func (f *Forwarder) Malformed() { f.counts[DroppedMalformed]++ }

func (f *Forwarder) decide(now time.Duration, s *Segment) Decision {
	if f.catalogue == nil {
		return f.handleFollowing(now, s)
	}
	route, ok := f.catalogue.Routes[s.Address]
	switch {
	case !ok && (s.Flags.Has(SYN) || f.routeRemoved(now, s)):
		f.forget(s.Flow())
		return resetOf(s, ResetNoRoute)
	case s.Flags.Has(SYN):
		return f.handleOpening(now, s, &route)
	}
	return f.handleFollowing(now, s)
}

// handleOpening chooses a target for a new flow. A retransmitted opening goes to another
// target, because the previous one has had at least 200 ms to answer
// (TestSecondAnswerDoesNotMoveAFlow).
//
// If a target has just become unreachable, callers are thus answered after one retransmission
// instead of not at all.
func (f *Forwarder) handleOpening(now time.Duration, s *Segment, r *Route) Decision {
	old := f.flows[s.Flow()]
	var tried [2]TargetID
	if old != nil && old.open && !old.ended && old.isCopy(s) {
		// A delayed copy of the opening. The target's answer must carry the cookie again, or
		// the caller would lose it.
		d := f.forward(old.target, Forwarded)
		d.SetCookie = true
		return d
	}
	if old != nil && old.open {
		f.forget(s.Flow())
		old = nil
	}
	if old != nil {
		if !f.without.Has(SecondTarget) {
			tried = [2]TargetID{old.target.ID, old.triedTargets[0]}
		}
		f.recordStall(now, old)
	}
	if h := f.heldOpening(s); h != nil {
		return f.handleCopy(now, h, s)
	}
	svc := f.drawBackend(r, s)
	if svc == nil {
		return resetOf(s, ResetNoTarget)
	}
	if g := svc.gate; g != nil && g.active && old == nil {
		return f.admitOpening(now, s, r, g)
	}
	c, reason := f.place(now, svc, tried)
	if c.target == nil && old != nil && !old.target.evacuated() {
		c, reason = choice{target: old.target}, OpenedElsewhere
	}
	if c.target == nil {
		reason = f.refusalReason(now, svc)
		svc.countRefused(old != nil, reason)
		return resetOf(s, reason)
	}
	var p place
	if old != nil {
		reason = OpenedElsewhere
		p = old.detachPlace()
	}
	return f.open(now, s, svc, c, reason, tried, p)
}

// open forwards an opening to its chosen target. p is the place of the flow, if it has one.
func (f *Forwarder) open(now time.Duration, s *Segment, svc *service, c choice, reason Reason, tried [2]TargetID, p place) Decision {
	f.countColdOpening(now, svc, c.target)
	svc.countForwarded(reason == OpenedElsewhere)
	f.attachPlace(f.addFlow(now, s, c.target, tried), p)
	return Decision{Verb: Forward, Reason: reason, Target: &c.target.Target, SetCookie: true, Load: c.load}
}

// refusalReason returns why no target can take a new flow of a service.
func (f *Forwarder) refusalReason(now time.Duration, s *service) Reason {
	if f.blockedByEvacuation(now, s) {
		return ResetEvacuated
	}
	if f.blockedByColdLimit(now, s) {
		return ResetCold
	}
	return ResetNoTarget
}

// drawBackend chooses the service of a new flow by the weights of the route. The choice
// depends only on the flow, so that a retransmitted opening gets the same service.
func (f *Forwarder) drawBackend(r *Route, s *Segment) *service {
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return nil
	}
	n := int(s.Flow().hash() % uint64(total))
	for _, b := range r.Backends {
		if n -= max(b.Weight, 0); n < 0 {
			return f.services[b.Service]
		}
	}
	return nil
}

// Cookie returns the target's cookie.
func (t *Target) Cookie() Cookie { return t.ID.Cookie() }

// resetOf returns the decision to answer a packet with a reset. A packet that is itself a
// reset is dropped instead.
func resetOf(s *Segment, reason Reason) Decision {
	if s.Flags.Has(RST) {
		return Decision{Verb: Drop, Reason: DroppedReset}
	}
	return Decision{Verb: Reset, Reason: reason}
}

func (f *Forwarder) forward(t *target, reason Reason) Decision {
	return Decision{Verb: Forward, Reason: reason, Target: &t.Target}
}
