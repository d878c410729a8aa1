package direct

import (
	"cmp"
	"slices"
	"time"

	"rosedale.dev/rosedale/internal/admission"
)

// TargetInfo is one balancer's view of a target, for operators.
type TargetInfo struct {
	ID         string        `json:"id"`
	Born       string        `json:"born"` // the target's own start time
	Service    string        `json:"service"`
	Address    string        `json:"address"`
	DataCenter string        `json:"data_center"`
	State      string        `json:"state"` // see target.state
	Flows      int           `json:"flows"`
	Busy       int           `json:"busy"`
	PeerFlows  int           `json:"peer_flows"`
	Load       float64       `json:"load"`     // requests per slot
	Silence    time.Duration `json:"silence"`  // since its last sign of life here
	Repeats    int           `json:"repeats"`  // retransmissions and unanswered openings since then or an answered check
	Finding    string        `json:"finding"`  // of the latest check
	Eligible   bool          `json:"eligible"` // for new flows
	Good       float64       `json:"good"`     // recent requests, see Outcome
	Bad        float64       `json:"bad"`
	PeerBad    float64       `json:"peer_bad"`
	Extra      float64       `json:"extra"`  // part of Load added for failed requests
	Places     int           `json:"places"` // requests in flight through this balancer that hold a place
	Arc        bool          `json:"arc"`    // among the targets used while the service is saturated
	Speed      float64       `json:"speed"`  // response time relative to the usual one; 0 without a gate
}

// Targets returns all targets, sorted by service and identifier.
func (f *Forwarder) Targets(now time.Duration) []TargetInfo {
	out := make([]TargetInfo, 0, len(f.targets))
	for _, t := range f.targets {
		out = append(out, f.info(now, t))
	}
	slices.SortFunc(out, func(a, b TargetInfo) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

func (f *Forwarder) info(now time.Duration, t *target) TargetInfo {
	return TargetInfo{
		ID: t.ID.String(), Born: t.Born.String(), Service: t.Service, Address: t.Addr.String(), DataCenter: t.DataCenter,
		State: t.state(now), Flows: t.flows, Busy: t.busy, PeerFlows: t.peerLoad.Flows,
		Load: t.load(now, f.service(t.Service).workPerFlow), Silence: now - t.lastAlive, Repeats: t.stalls,
		Finding: t.finding.String(), Eligible: t.eligible(now) && !t.evacuated(),
		Good: t.record.Good, Bad: t.record.Bad, PeerBad: t.peerOutcome.Bad, Extra: t.extraLoad,
		Places: t.places, Arc: t.inArc(), Speed: t.speed(now),
	}
}

// speed returns the measured speed of a target of a service with a gate, or 0.
func (t *target) speed(now time.Duration) float64 {
	if g := t.activeGate(); g != nil {
		return g.speeds.Ratio(now, uint64(t.ID))
	}
	return 0
}

// state returns the first applicable reason why a target is not used normally, or "ready".
func (t *target) state(now time.Duration) string {
	switch {
	case t.left:
		return "left"
	case t.departed:
		return "lapsed"
	case t.dead:
		return "dead"
	case t.cookieTaken:
		return "cookie_taken"
	case t.invalid:
		return "unusable"
	case t.Draining:
		return "draining"
	case t.evacuated():
		return "evacuated"
	case now < t.avoidUntil:
		return "suspected"
	case t.failing:
		return "failing"
	case now < t.coldUntil:
		return "cold"
	}
	return "ready"
}

// Explanation says how one balancer would handle a flow's packets.
type Explanation struct {
	Route   string       `json:"route"`
	Version int64        `json:"version"` // of the catalogue
	Known   bool         `json:"known"`   // the flow is in the table
	Target  string       `json:"target"`  // identifier of the flow's target
	State   string       `json:"state"`   // of that target
	Outcome string       `json:"outcome"` // decision on the next packet, or on an opening
	Choices []TargetInfo `json:"choices"` // all targets of the route's services
	Gates   []GateInfo   `json:"gates"`   // of the route's services that have one
}

// GateInfo is the state of the gate of a service, for operators.
type GateInfo struct {
	Service   string     `json:"service"`
	Saturated bool       `json:"saturated"` // a limit was reached recently
	Ratio     float64    `json:"ratio"`     // response time in this data centre relative to normal
	Factor    float64    `json:"factor"`    // on this balancer's share
	Waiting   int        `json:"waiting"`   // openings and requests
	Pools     []PoolInfo `json:"pools"`
	// Counts are of all requests since the start, by priority; the last one includes all that
	// are less urgent.
	Counts []PriorityCounts `json:"counts"`
}

// PriorityCounts counts requests of one priority.
type PriorityCounts struct {
	Priority int    `json:"priority"`
	Admitted uint64 `json:"admitted"`
	Queued   uint64 `json:"queued"`
	Rejected uint64 `json:"rejected"`
	Forced   uint64 `json:"forced"` // admitted beyond the limit
}

// PoolInfo describes the places at a service's targets in one data centre.
type PoolInfo struct {
	DataCenter string  `json:"data_center"`
	Share      float64 `json:"share"`
	Places     int     `json:"places"`
	InFlight   int     `json:"in_flight"`
	Ratio      float64 `json:"ratio"`     // response time relative to normal at the last answer
	ArcLimit   int     `json:"arc_limit"` // requests in flight at a target while the service is saturated
}

// Gates returns the state of all gates that limit requests, in the order of their creation.
func (f *Forwarder) Gates(now time.Duration) []GateInfo {
	var out []GateInfo
	for _, g := range f.gates {
		if g.active {
			out = append(out, g.info(now))
		}
	}
	return out
}

func (g *serviceGate) info(now time.Duration) GateInfo {
	st := g.Stats()
	out := GateInfo{Service: g.name, Saturated: g.Saturated(now), Ratio: g.Ratio(now), Factor: st.Factor, Waiting: g.waiting}
	for i, p := range st.Pools {
		gr := g.service.groupOf(admission.Pool(i))
		out.Pools = append(out.Pools, PoolInfo{gr.centre.name, p.Share, p.Places, p.InFlight, p.Ratio, gr.arc.limit})
	}
	for i := range admission.Priorities {
		if st.Admitted[i]+st.Queued[i]+st.Rejected[i]+st.Forced[i] > 0 {
			out.Counts = append(out.Counts, PriorityCounts{i, st.Admitted[i], st.Queued[i], st.Rejected[i], st.Forced[i]})
		}
	}
	return out
}

// Explain explains how a flow would be handled now. It changes no decision: an opening gets the
// target that it names, unless something else happens before.
func (f *Forwarder) Explain(now time.Duration, k FlowKey) Explanation {
	var x Explanation
	if f.catalogue == nil {
		x.Outcome = "no catalogue yet"
		return x
	}
	x.Version = f.catalogue.Version
	r, ok := f.catalogue.Routes[k.Address]
	if !ok {
		x.Outcome = ResetNoRoute.String()
		return x
	}
	x.Route = r.Name
	for _, b := range r.Backends {
		if s := f.services[b.Service]; s != nil {
			s.each(func(t *target) { x.Choices = append(x.Choices, f.info(now, t)) })
			if s.gate != nil && s.gate.active {
				x.Gates = append(x.Gates, s.gate.info(now))
			}
		}
	}
	if fl := f.flows[k]; fl != nil {
		x.Known = true
		x.Target = fl.target.ID.String()
		x.State = fl.target.state(now)
		x.Outcome = Forwarded.String()
		if fl.held != nil {
			x.Outcome = HeldRequest.String()
		}
		if reason, ended := f.resetReason(now, fl.target, k, fl.firstSeen); ended {
			x.Outcome = reason.String()
		}
		return x
	}
	if f.held[k] != nil {
		x.Outcome = HeldOpening.String()
		return x
	}
	x.Outcome = f.explainOpening(now, r, k)
	return x
}

// explainOpening returns the decision on an opening packet. The random numbers that it draws
// are drawn again by the next opening.
func (f *Forwarder) explainOpening(now time.Duration, r Route, k FlowKey) string {
	before := *f.randomState
	defer func() { *f.randomState = before }()
	svc := f.drawBackend(&r, &Segment{Caller: k.Caller, Address: k.Address})
	if svc == nil {
		return ResetNoTarget.String()
	}
	c, reason := f.explainChoice(now, svc)
	if reason == HeldOpening {
		return reason.String()
	}
	if c.target == nil {
		return f.refusalReason(now, svc).String()
	}
	return reason.String() + " " + c.target.ID.String()
}

// explainChoice returns the target of an opening, or HeldOpening if it would wait or be
// rejected.
func (f *Forwarder) explainChoice(now time.Duration, s *service) (choice, Reason) {
	g := s.gate
	switch {
	case g == nil || !g.active:
		return f.place(now, s, [2]TargetID{})
	case g.waiting > 0 || g.isFull():
		return choice{}, HeldOpening
	}
	return f.placeAdmitted(now, g, 0)
}

// isFull reports whether all places of the gate are taken.
func (g *serviceGate) isFull() bool {
	places, inFlight := 0, 0
	for _, p := range g.Stats().Pools {
		places += p.Places
		inFlight += min(p.InFlight, p.Places)
	}
	return places > 0 && inFlight >= places
}
