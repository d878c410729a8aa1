package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/flow"
	"rosedale.dev/rosedale/internal/link"
	"rosedale.dev/rosedale/internal/member"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	connectionsPerMessage = 32 // connection counts on a heartbeat
	healthPerMessage      = 3  // findings on a heartbeat
	// When the digests of the member list differ, all records are exchanged. The size
	// of that exchange grows with the number of members, so it waits until
	// memberSyncQuiet for each member has passed since the last change, in which
	// updates reach all, and memberSyncInterval plus memberSyncIntervalPerMember for
	// each member since the last exchange.
	memberSyncQuiet             = 5 * time.Millisecond
	memberSyncInterval          = 500 * time.Millisecond
	memberSyncIntervalPerMember = 10 * time.Millisecond
)

// send sends messages of the member list, with the digest of the catalogue and, on
// heartbeats, connection counts and findings about targets.
func (l *Loop) send(ctx context.Context, now time.Duration, out []member.Send) {
	for _, s := range out {
		l.catalogueState.Stamp(s.Msg)
		if s.Msg.Kind == wire.Ping {
			s.Msg.TargetConnections = l.connections.report(l.ownConnections(), connectionsPerMessage)
			s.Msg.Health = l.health.Rotate(now, healthPerMessage)
		}
		l.sendTo(ctx, s.To, s.Msg)
	}
}

func (l *Loop) sendTo(ctx context.Context, name string, m *wire.Message) {
	r, ok := l.group.Get(name)
	if !ok || l.link == nil || name == l.config.Name {
		return
	}
	l.link.Send(ctx, name, l.controlAddr(r), m)
}

// receive handles a message of an authenticated member.
func (l *Loop) receive(ctx context.Context, now time.Duration, in link.Incoming) {
	m := in.Msg
	l.send(ctx, now, l.group.Receive(now, m))
	switch m.Kind {
	case wire.Ping, wire.Ack:
		l.heartbeat(ctx, now, m)
	case wire.Pull:
		l.answerPull(ctx, m)
	case wire.Push:
		l.accept(ctx, m.Versions, m.From)
	case wire.Handover:
		l.takeOver(m.Flows, m.Ended)
	}
	for _, h := range m.Health {
		if l.health.Merge(now, h) {
			l.rebuildView = true
		}
	}
	l.spreadHealth(ctx)
}

// heartbeat handles the connection counts and the digests of a heartbeat or its answer.
func (l *Loop) heartbeat(ctx context.Context, now time.Duration, m *wire.Message) {
	l.connections.recordPeer(now, m.From, m.TargetConnections, l.ownConnections())
	for _, s := range l.catalogueState.Compare(now, m) {
		l.sendTo(ctx, s.To, s.Msg)
	}
	if m.High > 0 && m.Digest == l.catalogueState.Versions().Digest() {
		l.catalogueComplete = true
	}
	if m.Members != l.group.Digest() {
		l.syncMembers(ctx, now, m.From)
	}
}

// syncMembers exchanges all member records with a peer, unless it is too early; see
// memberSyncQuiet.
func (l *Loop) syncMembers(ctx context.Context, now time.Duration, peer string) {
	n := time.Duration(l.group.Len())
	if now-l.lastMemberSync < memberSyncInterval+n*memberSyncIntervalPerMember || now-l.membersChangedAt < n*memberSyncQuiet {
		return
	}
	l.lastMemberSync = now
	l.sendTo(ctx, peer, &wire.Message{Kind: wire.Pull, From: l.config.Name, Updates: l.group.Members(), Full: true, Have: l.catalogueState.Have()})
}

// ownConnections returns, by target hash, the number of connections of this balancer's
// flows to the targets of services with stream addresses.
func (l *Loop) ownConnections() map[uint32]int {
	out := make(map[uint32]int, len(l.streamTargets))
	for _, hash := range l.streamTargets {
		out[hash] = 0
	}
	for _, u := range l.router.Usage() {
		if hash, ok := l.streamTargets[u.Target]; ok {
			out[hash] = u.Connections
		}
	}
	return out
}

// answerPull sends the versions that the sender lacks. If the message contains member
// records, it also sends this member's records, in a message that needs no answer.
func (l *Loop) answerPull(ctx context.Context, m *wire.Message) {
	for _, s := range l.catalogueState.Answer(m) {
		l.sendTo(ctx, s.To, s.Msg)
	}
	if len(m.Updates) > 0 {
		l.sendTo(ctx, m.From, &wire.Message{Kind: wire.Gossip, From: l.config.Name, Updates: l.group.Members()})
	}
}

// accept puts new versions in force and pushes them to other members.
func (l *Loop) accept(ctx context.Context, vs []catalogue.Version, from string) {
	out, changed, errs := l.catalogueState.Accept(vs, from, l.pushReceivers(from))
	for _, err := range errs {
		l.log.Error("catalogue entry refused", zap.Error(err), zap.String("from", from))
	}
	if !changed {
		return
	}
	l.catalogueChangedAt = l.plane.Now()
	l.rebuildView = true
	// What a starting member reads is new only to itself. Without this condition, members
	// that start together would push the whole catalogue to each other.
	if l.group.Self().Status != wire.Starting {
		for _, s := range out {
			l.sendTo(ctx, s.To, s.Msg)
		}
	}
	l.log.Info("catalogue changed", zap.Uint64("index", l.catalogueState.Versions().High()), zap.String("from", from))
}

// pushReceivers returns the members to which new versions from a member, or from the store
// if from is empty, may be pushed. Versions from the store are not pushed to other
// readers, which have them already: with few VMs nearly all members are readers, and each
// would push every entry to three that have it. A reader that cannot reach the store
// notices the difference by the digest of the next heartbeat.
func (l *Loop) pushReceivers(from string) []string {
	peers := l.reachable()
	if from != "" {
		return peers
	}
	readers := l.readers()
	return slices.DeleteFunc(peers, func(name string) bool { return readers[name] })
}

// reachable returns the names of the other members that are expected to answer.
func (l *Loop) reachable() []string {
	var out []string
	for _, r := range l.group.Members() {
		if r.Name != l.config.Name && member.Reachable(r) {
			out = append(out, r.Name)
		}
	}
	return out
}

// takeOver passes flows that were handed over to this balancer, their new home, and flows that
// ended at the former one, to the router.
func (l *Loop) takeOver(fs, ended []wire.Flow) {
	ms := make([]router.Moved, 0, len(fs)+len(ended))
	for _, f := range fs {
		ms = append(ms, moved(f, flow.State(f.State)))
	}
	for _, f := range ended {
		ms = append(ms, moved(f, flow.Closing))
	}
	l.Count.TakenOver.Add(uint64(len(fs)))
	l.plane.Apply(func(now time.Duration, out *router.Output) { l.router.Take(now, ms, out) })
}

func moved(f wire.Flow, state flow.State) router.Moved {
	return router.Moved{
		Caller: f.Caller, Address: f.Address, Target: f.Target, Seq: f.Seq,
		State: state, Wait: time.Duration(f.Wait) * time.Millisecond, Opening: f.Opening, Lost: f.Lost,
	}
}
