package member

import (
	"slices"
	"sort"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// Tick sends due heartbeats and settles overdue ones. It should be called
// several times in each Period.
func (g *Group) Tick(now time.Duration) []Send {
	out := g.settle(now)
	if now >= g.pingAt {
		g.pingAt = now + g.set.Period
		out = append(out, g.ping(now, g.next(now))...)
	}
	if now >= g.joinAt {
		g.joinAt = now + g.set.RejoinPeriod
		out = append(out, g.rejoin(now)...)
	}
	if g.urgent {
		g.urgent = false
		out = append(out, g.gossip()...)
	}
	return out
}

// Resume is called after the process was paused. Unanswered heartbeats of the
// time before prove nothing then, and what peers decided meanwhile is unknown.
func (g *Group) Resume(now time.Duration) {
	g.resumed = now
	for _, m := range g.all {
		m.probes = probe{}
	}
	g.pingAt = now
}

// CaughtUp reports whether this member may decide as home: not right after a
// pause, until a peer has answered or all had time to.
func (g *Group) CaughtUp(now time.Duration) bool {
	if g.resumed == 0 {
		return true
	}
	if g.heardAt > g.resumed || now-g.resumed > 4*g.set.AckTimeout {
		g.resumed = 0
		return true
	}
	return false
}

// neighbourhood returns the members that this one pings: its successors on
// the ring of name hashes and the long links.
func (g *Group) neighbourhood(now time.Duration) []string {
	var ring []*member
	for _, m := range g.order {
		if m != g.self && Reachable(m.Record) {
			ring = append(ring, m)
		}
	}
	sort.Slice(ring, func(i, j int) bool {
		return ring[i].seed-g.self.seed < ring[j].seed-g.self.seed
	})
	var out []string
	for i := 0; i < len(ring) && i < neighbours; i++ {
		out = append(out, ring[i].Name)
	}
	if len(ring) > neighbours {
		out = append(out, g.drawLinks(now, ring[neighbours:])...)
	}
	return out
}

func (g *Group) drawLinks(now time.Duration, far []*member) []string {
	valid := len(g.links) > 0 && now-g.drawnAt < redraw
	for _, n := range g.links {
		m := g.all[n]
		valid = valid && m != nil && Reachable(m.Record)
	}
	if valid {
		return g.links
	}
	g.drawnAt = now
	g.links = g.links[:0]
	for range min(longLinks, len(far)) {
		g.links = append(g.links, far[g.rnd.IntN(len(far))].Name)
	}
	return g.links
}

func (g *Group) next(now time.Duration) string {
	n := g.neighbourhood(now)
	if len(n) == 0 {
		return ""
	}
	g.turn++
	return n[g.turn%len(n)]
}

func (g *Group) ping(now time.Duration, name string) []Send {
	m := g.all[name]
	if m == nil {
		return nil
	}
	g.seq++
	if !m.probes.waiting {
		m.probes = probe{seq: g.seq, sentAt: now, waiting: true}
	}
	return []Send{{name, g.message(wire.Ping, g.seq)}}
}

func (g *Group) message(k wire.Kind, seq uint32) *wire.Message {
	return &wire.Message{Kind: k, From: g.self.Name, Seq: seq, Updates: g.updates(), Members: g.digest}
}

// rejoin tries one member that is dead or was never heard, so that two parts
// of the fleet find each other again after a partition.
func (g *Group) rejoin(now time.Duration) []Send {
	var dead []string
	for _, m := range g.order {
		if m.Status == wire.Dead && (m.Incarnation == 0 || now-m.since < g.set.LeaveMemory) {
			dead = append(dead, m.Name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	name := dead[g.rnd.IntN(len(dead))]
	g.seq++
	msg := g.message(wire.Ping, g.seq)
	msg.Updates = append(msg.Updates, g.self.Record, g.all[name].Record)
	return []Send{{name, msg}}
}

// gossip sends queued updates to a few members at once.
func (g *Group) gossip() []Send {
	n := g.neighbourhood(g.drawnAt)
	g.rnd.Shuffle(len(n), func(i, j int) { n[i], n[j] = n[j], n[i] })
	var out []Send
	for i := 0; i < len(n) && i < fanout; i++ {
		out = append(out, Send{n[i], g.message(wire.Gossip, 0)})
	}
	return out
}

// settle follows up on heartbeats without an answer: first through others, in
// case only the direct path is broken, then by suspicion, then by death.
func (g *Group) settle(now time.Duration) []Send {
	var out []Send
	for _, m := range slices.Clone(g.order) {
		if m == g.self || !Reachable(m.Record) {
			g.forget(now, m)
			continue
		}
		wait := now - m.probes.sentAt
		if m.probes.waiting && !m.probes.relayed && wait >= g.set.AckTimeout {
			m.probes.relayed = true
			out = append(out, g.askRelays(now, m)...)
		}
		if m.probes.waiting && wait >= g.set.AckTimeout+g.set.Period {
			m.probes = probe{}
			g.suspect(now, m)
		}
		if m.Status == wire.Suspect && now-m.since >= g.set.SuspectTimeout {
			g.setOther(now, m, wire.Dead)
		}
	}
	return out
}

func (g *Group) forget(now time.Duration, m *member) {
	if m == g.self || m.Incarnation == 0 || now-m.since < g.set.LeaveMemory {
		return
	}
	g.digest ^= recordHash(m.Record)
	delete(g.all, m.Name)
	g.order = slices.DeleteFunc(g.order, func(x *member) bool { return x == m })
	for i := range g.queue {
		if g.queue[i].name == m.Name {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			break
		}
	}
}

func (g *Group) askRelays(now time.Duration, m *member) []Send {
	var out []Send
	n := g.neighbourhood(now)
	g.rnd.Shuffle(len(n), func(i, j int) { n[i], n[j] = n[j], n[i] })
	for _, r := range n {
		if r == m.Name {
			continue
		}
		if len(out) == relays {
			break
		}
		msg := g.message(wire.PingReq, m.probes.seq)
		msg.Target = m.Name
		out = append(out, Send{r, msg})
	}
	return out
}

// suspect notes a missed heartbeat. A member that is leaving anyway is not
// given the time of a suspicion: nobody counts on it.
func (g *Group) suspect(now time.Duration, m *member) {
	switch m.Status {
	case wire.Alive, wire.Starting:
		g.setOther(now, m, wire.Suspect)
	case wire.Leaving:
		g.setOther(now, m, wire.Dead)
	}
}

func (g *Group) setOther(now time.Duration, m *member, s wire.Status) {
	r := m.Record
	r.Status = s
	g.replace(now, m, r)
	g.urgent = true
}
