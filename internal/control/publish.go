package control

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/balance"
	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/member"
	"rosedale.dev/rosedale/internal/rendezvous"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/wire"
)

// publish builds a view from the member list and the catalogue, and puts it in force on
// the data path.
func (l *Loop) publish(now time.Duration) {
	l.rebuildView = false
	v := &router.View{
		Addresses: map[netip.AddrPort]router.Address{},
		Services:  map[uint32]router.Service{},
	}
	l.addNodes(v)
	l.streamTargets = map[uint32]uint32{}
	services, heldBack := l.catalogueState.Versions().Services()
	l.logHeldBack(heldBack)
	for _, s := range services {
		l.addService(now, v, s)
	}
	l.addWithdrawn(v)
	l.assignChecks(services)
	v.TargetIDs = maps.Clone(l.ids.targetIDs)
	v.Targets = slices.Clone(l.ids.targets)
	l.plane.SetPeers(l.peerAddrs())
	l.handovers = append(l.handovers, l.handoverMessages(v, l.router.SetView(now, v))...)
}

// addNodes adds the reachable balancers of the own group and the serving ones of other
// groups to a view. The view is partial if a data centre of the own group may be cut off: it
// has balancers that are dead or never answered, and no reachable one. Balancers that have
// left on purpose do not count.
func (l *Loop) addNodes(v *router.View) {
	l.checkers = map[uint32]bool{}
	hasReachable, hasLost := map[string]bool{}, map[string]bool{}
	v.Remotes = map[string][]router.Node{}
	for _, r := range l.group.Members() {
		l.logMember(r)
		if !l.inGroup(r.DataCenter) {
			l.addRemote(v, r)
			continue
		}
		self := r.Name == l.config.Name
		if !self && !member.Reachable(r) {
			hasLost[r.DataCenter] = hasLost[r.DataCenter] || r.Status != wire.Left
			continue
		}
		hasReachable[r.DataCenter] = true
		l.checkers[checkerID(r.Name)] = true
		if self {
			v.Self = len(v.Nodes)
		}
		v.Nodes = append(v.Nodes, router.Node{
			Name:       r.Name,
			DataCenter: r.DataCenter,
			Data:       l.dataAddr(r),
			Seed:       rendezvous.Seed(r.Name),
			Serving:    member.Serving(r),
		})
	}
	for dc, lost := range hasLost {
		v.Partial = v.Partial || lost && !hasReachable[dc]
	}
}

// addRemote adds a balancer of another group.
func (l *Loop) addRemote(v *router.View, r wire.Record) {
	if !member.Serving(r) {
		return
	}
	l.checkers[checkerID(r.Name)] = true
	v.Remotes[r.DataCenter] = append(v.Remotes[r.DataCenter], router.Node{
		Name: r.Name, DataCenter: r.DataCenter, Data: l.dataAddr(r), Seed: rendezvous.Seed(r.Name), Serving: true,
	})
}

// checkerID identifies a member in findings about targets.
func checkerID(name string) uint32 { return uint32(rendezvous.Seed(name)) }

func (l *Loop) isReachableChecker(id uint32) bool { return l.checkers[id] }

// logMember logs a member whose status changed.
func (l *Loop) logMember(r wire.Record) {
	if old, ok := l.loggedStatus[r.Name]; r.Incarnation == 0 || ok && old == r.Status {
		return
	}
	l.loggedStatus[r.Name] = r.Status
	l.log.Info("member", zap.String("peer", r.Name), zap.Stringer("state", r.Status), zap.Uint64("incarnation", r.Incarnation))
}

// inGroup reports whether a data centre belongs to the group of the settings: the data
// centres whose balancers share the packets of the fabric. Without a group, all of them do.
func (l *Loop) inGroup(dc string) bool {
	return len(l.config.Group) == 0 || slices.Contains(l.config.Group, dc)
}

// addService adds a service with its addresses and targets to a view. If none of its
// targets is eligible, new flows spill to data centres of other groups with a healthy one;
// if there is none, failOpen applies.
func (l *Loop) addService(now time.Duration, v *router.View, s *catalogue.Service) {
	policy, _ := balance.ParsePolicy(l.config.Balance.Policy)
	svc := router.Service{Name: s.Name, Slack: balance.SlackFor(s.BrokenFlowWeight), Policy: policy}
	for _, a := range s.Addresses {
		v.Addresses[a.Address] = router.Address{
			ID:         l.ids.address(s.Number, a.Address),
			Service:    s.Number,
			Class:      a.Class,
			Idempotent: a.Idempotent,
			Deadline:   time.Duration(a.AdmissionDeadline),
		}
	}
	eligible := 0
	for _, t := range s.Targets {
		bt, healthy := l.target(now, s, t)
		if bt.Eligible {
			eligible++
		}
		_, remote := v.Remotes[t.DataCenter]
		if healthy && remote && t.State == catalogue.Active && !slices.Contains(svc.SpillTo, t.DataCenter) {
			svc.SpillTo = append(svc.SpillTo, t.DataCenter)
		}
		svc.Targets = append(svc.Targets, bt)
		if s.Streams() && l.inGroup(t.DataCenter) {
			l.streamTargets[bt.ID] = wire.TargetHash(s.Number, t.Address)
		}
	}
	switch {
	case eligible > 0:
		svc.SpillTo = nil
	case len(svc.SpillTo) == 0:
		l.failOpen(s, svc.Targets)
	}
	v.Services[s.Number] = svc
	l.recordService(s, v)
}

// target returns a target of a service for balancing, and whether it is healthy. A target
// without findings counts as healthy.
func (l *Loop) target(now time.Duration, s *catalogue.Service, t catalogue.Target) (balance.Target, bool) {
	id := l.ids.target(s.Number, t.Address, t.DataCenter)
	st := l.health.State(now, wire.TargetHash(s.Number, t.Address), l.isReachableChecker)
	healthy := !st.Known || st.Healthy
	bt := balance.Target{
		ID:       id,
		Seed:     rendezvous.Seed(t.Address.String()),
		Eligible: healthy && t.State == catalogue.Active && l.inGroup(t.DataCenter),
		Ramp:     time.Duration(l.config.Balance.Ramp),
	}
	bt.Limit[balance.Connection] = s.Limits.Connections
	bt.Limit[balance.Slot] = s.Limits.Slots
	return bt, healthy
}

// failOpen makes all active targets of a service in this group eligible. It is called when
// none is eligible and no other group has a healthy one. If all are reported unhealthy, the
// reports are more likely to be wrong than right, and answers to flows still show which
// targets work.
func (l *Loop) failOpen(s *catalogue.Service, ts []balance.Target) {
	for i := range ts {
		ts[i].Eligible = s.Targets[i].State == catalogue.Active && l.inGroup(s.Targets[i].DataCenter)
		if ts[i].Eligible {
			l.Count.FailOpen.Add(1)
		}
	}
}

// knownService is a service that is or was in the catalogue since the start.
type knownService struct {
	name      string
	addresses map[netip.AddrPort]router.Address
}

// recordService stores the addresses of a service for addWithdrawn.
func (l *Loop) recordService(s *catalogue.Service, v *router.View) {
	r, ok := l.knownServices[s.Number]
	if !ok {
		r = knownService{addresses: map[netip.AddrPort]router.Address{}}
	}
	r.name = s.Name
	for _, a := range s.Addresses {
		r.addresses[a.Address] = v.Addresses[a.Address]
	}
	l.knownServices[s.Number] = r
}

// addWithdrawn adds the addresses and services that were removed from the catalogue to a
// view. They get no new flows, but their open flows continue.
func (l *Loop) addWithdrawn(v *router.View) {
	for number, r := range l.knownServices {
		if _, ok := v.Services[number]; !ok {
			v.Services[number] = router.Service{Name: r.name}
		}
		for ap, a := range r.addresses {
			if _, ok := v.Addresses[ap]; !ok {
				a.Withdrawn = true
				v.Addresses[ap] = a
			}
		}
	}
}

// logHeldBack logs the errors of entries held back when they change.
func (l *Loop) logHeldBack(errs []error) {
	var texts []string
	for _, e := range errs {
		texts = append(texts, e.Error())
	}
	if slices.Equal(texts, l.heldBack) {
		return
	}
	l.heldBack = texts
	for _, t := range texts {
		l.log.Error("catalogue entry held back", zap.String("reason", t))
	}
}

// handoverMessages returns the messages that hand flows over to their new homes. Ended flows have a
// field of their own, since balancers without it would count them as open.
func (l *Loop) handoverMessages(v *router.View, ms []router.Moved) []outgoing {
	byHome := map[string]*wire.Message{}
	for _, m := range ms {
		name := v.Nodes[m.Home].Name
		if byHome[name] == nil {
			byHome[name] = &wire.Message{Kind: wire.Handover, From: l.config.Name}
		}
		l.addMoved(byHome[name], m)
	}
	var out []outgoing
	for _, name := range slices.Sorted(maps.Keys(byHome)) {
		out = append(out, outgoing{name, byHome[name]})
	}
	return out
}

// addMoved adds a flow to the handover to its new home.
func (l *Loop) addMoved(to *wire.Message, m router.Moved) {
	f := wire.Flow{
		Caller: m.Caller, Address: m.Address, Target: m.Target, Seq: m.Seq,
		State: uint8(m.State), Wait: uint32(m.Wait.Milliseconds()), Opening: m.Opening, Lost: m.Lost,
	}
	if m.State == flow.Closing {
		to.Ended = append(to.Ended, f)
		return
	}
	l.Count.HandedOver.Add(1)
	to.Flows = append(to.Flows, f)
}

// outgoing is a message with the name of the member to send it to.
type outgoing struct {
	to  string
	msg *wire.Message
}

func (l *Loop) sendHandovers(ctx context.Context) {
	for _, o := range l.handovers {
		l.sendTo(ctx, o.to, o.msg)
	}
	l.handovers = nil
}
