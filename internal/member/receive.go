package member

import (
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// Receive handles a message of an authenticated member and returns the answers.
func (g *Group) Receive(now time.Duration, m *wire.Message) []Send {
	g.clearProbe(m.From)
	for _, r := range m.Updates {
		g.Merge(now, r)
	}
	switch m.Kind {
	case wire.Ping:
		ack := g.message(wire.Ack, m.Seq)
		if p := g.members[m.From]; p == nil || !Reachable(p.Record) {
			// The sender may not know that it was marked dead; the records let
			// it refute that.
			ack.Updates = append(ack.Updates, g.self.Record)
			if p != nil {
				ack.Updates = append(ack.Updates, p.Record)
			}
		}
		return []Send{{m.From, ack}}
	case wire.PingReq:
		return g.relayPing(now, m)
	case wire.Ack:
		if m.Seq > g.resumedSeq {
			g.resumedAt = 0
		}
		if r, ok := g.pendingRelays[m.Seq]; ok {
			delete(g.pendingRelays, m.Seq)
			ack := g.message(wire.Ack, r.seq)
			ack.Target = m.From
			return []Send{{r.to, ack}}
		}
		if m.Target != "" {
			g.clearProbe(m.Target) // a relay reached that member
		}
	}
	return nil
}

// clearProbe discards the unanswered heartbeat to a member.
func (g *Group) clearProbe(name string) {
	if m := g.members[name]; m != nil {
		m.probe = probeState{}
	}
}

// maxPendingRelays limits the relayed pings without an answer. All are discarded when
// it is reached.
const maxPendingRelays = 64

// relayPing pings the member m.Target for the sender of m.
func (g *Group) relayPing(now time.Duration, m *wire.Message) []Send {
	if g.members[m.Target] == nil {
		return nil
	}
	if len(g.pendingRelays) >= maxPendingRelays {
		clear(g.pendingRelays)
	}
	g.seq++
	g.pendingRelays[g.seq] = relayRequest{m.From, m.Seq}
	return []Send{{m.Target, g.message(wire.Ping, g.seq)}}
}

// Merge replaces a member's record if r is newer, by incarnation and then by status.
// Records of other members about this member itself are refuted with a higher
// incarnation.
func (g *Group) Merge(now time.Duration, r wire.Record) {
	if r.Name == g.self.Name {
		g.refute(now, r)
		return
	}
	if r.Incarnation == 0 || r.Status < wire.Starting || r.Status > wire.Left {
		return
	}
	m := g.members[r.Name]
	if m == nil {
		m = g.add(wire.Record{Name: r.Name, Status: wire.Dead})
	}
	newer := r.Incarnation > m.Incarnation || r.Incarnation == m.Incarnation && r.Status > m.Status
	if !newer {
		return
	}
	if r.Status != m.Status {
		g.urgent = true
	}
	g.replace(now, m, r)
}

// refute raises this member's incarnation if r, a record about it, contradicts its
// own record. Peers send such a record when they suspect this member or mark it dead,
// for example after a lost heartbeat or a pause of this process. The higher
// incarnation overrides their record in the whole group.
func (g *Group) refute(now time.Duration, r wire.Record) {
	same := r.Incarnation == g.self.Incarnation && r.Status == g.self.Status
	if r.Incarnation < g.self.Incarnation || same {
		return
	}
	own := g.self.Record
	own.Incarnation = r.Incarnation + 1
	g.replace(now, g.self, own)
	g.urgent = true
}
