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
	heldPerMessage   = 32
	healthPerMessage = 3
	// A complete exchange of member records follows a differing digest. Its size
	// grows with their number, so that it waits for the spread of the last
	// change (syncQuiet for each member), and for syncPause and syncShare for
	// each member after the last exchange.
	syncQuiet = 5 * time.Millisecond
	syncPause = 500 * time.Millisecond
	syncShare = 10 * time.Millisecond
)

// send stamps and sends the member list's messages.
func (l *Loop) send(ctx context.Context, now time.Duration, out []member.Send) {
	for _, s := range out {
		l.cat.Stamp(s.Msg)
		if s.Msg.Kind == wire.Ping {
			s.Msg.TargetConnections = l.held.own(l.counts(), heldPerMessage)
			s.Msg.Health = l.health.Rotate(now, healthPerMessage)
		}
		l.sendTo(ctx, s.To, s.Msg)
	}
}

func (l *Loop) sendTo(ctx context.Context, name string, m *wire.Message) {
	r, ok := l.group.Get(name)
	if !ok || l.link == nil || name == l.set.Name {
		return
	}
	l.link.Send(ctx, name, l.controlAddr(r), m)
}

// receive handles one message of an authenticated member.
func (l *Loop) receive(ctx context.Context, now time.Duration, in link.Incoming) {
	m := in.Msg
	l.send(ctx, now, l.group.Receive(now, m))
	switch m.Kind {
	case wire.Ping, wire.Ack:
		l.heartbeat(ctx, now, m)
	case wire.Pull:
		l.pull(ctx, m)
	case wire.Push:
		l.accept(ctx, m.Versions, m.From)
	case wire.Handover:
		l.takeOver(m.Flows)
	}
	for _, h := range m.Health {
		if l.health.Merge(now, h) {
			l.rebuild = true
		}
	}
	l.spreadHealth(ctx)
}

func (l *Loop) heartbeat(ctx context.Context, now time.Duration, m *wire.Message) {
	l.held.peer(now, m.From, m.TargetConnections, l.counts())
	for _, s := range l.cat.Compare(now, m) {
		l.sendTo(ctx, s.To, s.Msg)
	}
	if m.High > 0 && m.Digest == l.cat.Versions().Digest() {
		l.sync = true
	}
	if m.Members != l.group.Digest() {
		l.syncMembers(ctx, now, m.From)
	}
}

func (l *Loop) syncMembers(ctx context.Context, now time.Duration, peer string) {
	n := time.Duration(l.group.Len())
	if now-l.syncAt < syncPause+n*syncShare || now-l.memberAt < n*syncQuiet {
		return
	}
	l.syncAt = now
	l.sendTo(ctx, peer, &wire.Message{Kind: wire.Pull, From: l.set.Name, Updates: l.group.Members(), Full: true, Have: l.cat.Have()})
}

// counts returns, by target hash, the connections that this balancer's flows
// hold at the targets of services with stream addresses.
func (l *Loop) counts() map[uint32]int {
	out := make(map[uint32]int, len(l.streamed))
	for _, hash := range l.streamed {
		out[hash] = 0
	}
	for _, h := range l.router.Usage() {
		if hash, ok := l.streamed[h.Target]; ok {
			out[hash] = h.Connections
		}
	}
	return out
}

// pull answers with the versions that the sender lacks. A full exchange of
// member records is answered with the own ones, once.
func (l *Loop) pull(ctx context.Context, m *wire.Message) {
	for _, s := range l.cat.Answer(m) {
		l.sendTo(ctx, s.To, s.Msg)
	}
	if len(m.Updates) > 0 {
		l.sendTo(ctx, m.From, &wire.Message{Kind: wire.Gossip, From: l.set.Name, Updates: l.group.Members()})
	}
}

// accept puts new versions in force and passes them on.
func (l *Loop) accept(ctx context.Context, vs []catalogue.Version, from string) {
	out, changed, errs := l.cat.Accept(vs, from, l.pushTo(from))
	for _, err := range errs {
		l.log.Error("catalogue entry refused", zap.Error(err), zap.String("from", from))
	}
	if !changed {
		return
	}
	l.catalogAt = l.plane.Now()
	l.rebuild = true
	// What a starting member reads is news to itself only: 55 of them would
	// push the whole catalogue to each other.
	if l.group.Self().Status != wire.Starting {
		for _, s := range out {
			l.sendTo(ctx, s.To, s.Msg)
		}
	}
	l.log.Info("catalogue changed", zap.Uint64("index", l.cat.Versions().High()), zap.String("from", from))
}

// pushTo returns the members that news from a member, or from the store if from
// is empty, may be pushed to. Other readers have what the store says: with few VMs
// nearly all are readers, and each would push every entry to three that have it.
// A reader that cannot reach the store finds out by the next heartbeat's digest.
func (l *Loop) pushTo(from string) []string {
	peers := l.reachable()
	if from != "" {
		return peers
	}
	readers := l.readers()
	return slices.DeleteFunc(peers, func(name string) bool { return readers[name] })
}

func (l *Loop) reachable() []string {
	var out []string
	for _, r := range l.group.Members() {
		if r.Name != l.set.Name && member.Reachable(r) {
			out = append(out, r.Name)
		}
	}
	return out
}

func (l *Loop) takeOver(fs []wire.Flow) {
	ms := make([]router.Moved, 0, len(fs))
	for _, f := range fs {
		ms = append(ms, router.Moved{
			Caller: f.Caller, Address: f.Address, Target: f.Target, Seq: f.Seq,
			State: flow.State(f.State), Wait: time.Duration(f.Wait) * time.Millisecond, Opening: f.Opening, Lost: f.Lost,
		})
	}
	l.Count.TakenOver.Add(uint64(len(ms)))
	l.plane.Apply(func(now time.Duration, out *router.Output) { l.router.Take(now, ms, out) })
}
