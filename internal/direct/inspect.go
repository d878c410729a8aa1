package direct

import (
	"cmp"
	"slices"
	"time"
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
	Extra      float64       `json:"extra"` // part of Load added for failed requests
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
	}
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
		}
	}
	if fl := f.flows[k]; fl != nil {
		x.Known = true
		x.Target = fl.target.ID.String()
		x.State = fl.target.state(now)
		x.Outcome = Forwarded.String()
		if reason, ended := f.resetReason(now, fl.target, k, fl.firstSeen); ended {
			x.Outcome = reason.String()
		}
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
	c, reason := f.place(now, svc, [2]TargetID{})
	if c.target == nil {
		return f.refusalReason(now, svc).String()
	}
	return reason.String() + " " + c.target.ID.String()
}
