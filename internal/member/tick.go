package member

import (
	"slices"
	"sort"
	"time"

	"rosedale.dev/rosedale/internal/wire"
)

// Tick returns the heartbeats that are due and handles those that were not answered in
// time. It should be called several times in each Period.
func (g *Group) Tick(now time.Duration) []Send {
	out := g.checkProbes(now)
	if now >= g.nextPing {
		g.nextPing = now + g.settings.Period
		out = append(out, g.ping(now, g.chooseNeighbour(now))...)
	}
	if now >= g.nextRejoin {
		g.nextRejoin = now + g.settings.RejoinPeriod
		out = append(out, g.rejoin(now)...)
	}
	if g.urgent {
		g.urgent = false
		out = append(out, g.gossip()...)
	}
	return out
}

// Resume is called after the process was paused. It discards unanswered heartbeats, as
// the answers may have been missed, and resets CaughtUp, as peers may have changed the
// list during the pause.
func (g *Group) Resume(now time.Duration) {
	g.resumedAt = now
	g.resumedSeq = g.seq
	for _, m := range g.members {
		m.probe = probeState{}
	}
	g.nextPing = now
}

// CaughtUp reports whether this member may decide on flows as their home. After a
// pause it may not until a peer has answered a ping sent after it or all peers have had
// time to answer, which is four times the AckTimeout. Other messages may have waited in
// the socket and say what peers knew before or during the pause.
func (g *Group) CaughtUp(now time.Duration) bool {
	if g.resumedAt == 0 {
		return true
	}
	if now-g.resumedAt > 4*g.settings.AckTimeout {
		g.resumedAt = 0
		return true
	}
	return false
}

// neighbourhood returns the members that this one pings: its successors on the ring of
// name hashes and the long links.
func (g *Group) neighbourhood(now time.Duration) []string {
	var ring []*member
	for _, m := range g.byName {
		if m != g.self && Reachable(m.Record) {
			ring = append(ring, m)
		}
	}
	sort.Slice(ring, func(i, j int) bool {
		return ring[i].hash-g.self.hash < ring[j].hash-g.self.hash
	})
	var out []string
	for i := 0; i < len(ring) && i < successors; i++ {
		out = append(out, ring[i].Name)
	}
	if len(ring) > successors {
		out = append(out, g.chooseLongLinks(now, ring[successors:])...)
	}
	return out
}

// chooseLongLinks returns the long links, random members of far. It chooses new ones
// after longLinkLifetime or when one of them is unreachable.
func (g *Group) chooseLongLinks(now time.Duration, far []*member) []string {
	valid := len(g.longLinks) > 0 && now-g.longLinksChosenAt < longLinkLifetime
	for _, n := range g.longLinks {
		m := g.members[n]
		valid = valid && m != nil && Reachable(m.Record)
	}
	if valid {
		return g.longLinks
	}
	g.longLinksChosenAt = now
	g.longLinks = g.longLinks[:0]
	for range min(longLinkCount, len(far)) {
		g.longLinks = append(g.longLinks, far[g.random.IntN(len(far))].Name)
	}
	return g.longLinks
}

// chooseNeighbour returns the members of the neighbourhood in turn.
func (g *Group) chooseNeighbour(now time.Duration) string {
	n := g.neighbourhood(now)
	if len(n) == 0 {
		return ""
	}
	g.nextNeighbour++
	return n[g.nextNeighbour%len(n)]
}

func (g *Group) ping(now time.Duration, name string) []Send {
	m := g.members[name]
	if m == nil {
		return nil
	}
	g.seq++
	if !m.probe.waiting {
		m.probe = probeState{seq: g.seq, sentAt: now, waiting: true}
	}
	return []Send{{name, g.message(wire.Ping, g.seq)}}
}

func (g *Group) message(k wire.Kind, seq uint32) *wire.Message {
	return &wire.Message{Kind: k, From: g.self.Name, Seq: seq, Updates: g.takeUpdates(), Members: g.digest}
}

// rejoin pings one member that is dead or never answered, so that two parts of the
// fleet find each other after a partition.
func (g *Group) rejoin(now time.Duration) []Send {
	var dead []string
	for _, m := range g.byName {
		if m.Status == wire.Dead && (m.Incarnation == 0 || now-m.statusSince < g.settings.Retention) {
			dead = append(dead, m.Name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	name := dead[g.random.IntN(len(dead))]
	g.seq++
	msg := g.message(wire.Ping, g.seq)
	msg.Updates = append(msg.Updates, g.self.Record, g.members[name].Record)
	return []Send{{name, msg}}
}

// gossip sends queued updates to a few neighbours without waiting for a heartbeat.
func (g *Group) gossip() []Send {
	n := g.neighbourhood(g.longLinksChosenAt) // so that no long links are replaced for their age
	g.random.Shuffle(len(n), func(i, j int) { n[i], n[j] = n[j], n[i] })
	var out []Send
	for i := 0; i < len(n) && i < fanout; i++ {
		out = append(out, Send{n[i], g.message(wire.Gossip, 0)})
	}
	return out
}

// checkProbes handles heartbeats without an answer. It first asks other members to ping,
// in case only the direct path is broken, then suspects the member, and finally marks
// it dead. It also removes expired records.
func (g *Group) checkProbes(now time.Duration) []Send {
	var out []Send
	for _, m := range slices.Clone(g.byName) {
		if m == g.self || !Reachable(m.Record) {
			g.removeExpired(now, m)
			continue
		}
		wait := now - m.probe.sentAt
		if m.probe.waiting && !m.probe.relayed && wait >= g.settings.AckTimeout {
			m.probe.relayed = true
			out = append(out, g.requestRelays(now, m)...)
		}
		if m.probe.waiting && wait >= g.settings.AckTimeout+g.settings.Period {
			m.probe = probeState{}
			g.suspect(now, m)
		}
		if m.Status == wire.Suspect && now-m.statusSince >= g.settings.SuspectTimeout {
			g.setPeerStatus(now, m, wire.Dead)
		}
	}
	return out
}

// removeExpired deletes the record of a dead or left member after Retention.
func (g *Group) removeExpired(now time.Duration, m *member) {
	if m == g.self || m.Incarnation == 0 || now-m.statusSince < g.settings.Retention {
		return
	}
	g.digest ^= recordHash(m.Record)
	delete(g.members, m.Name)
	g.byName = slices.DeleteFunc(g.byName, func(x *member) bool { return x == m })
	for i := range g.queue {
		if g.queue[i].name == m.Name {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			break
		}
	}
}

// requestRelays asks neighbours of this member to ping m.
func (g *Group) requestRelays(now time.Duration, m *member) []Send {
	var out []Send
	n := g.neighbourhood(now)
	g.random.Shuffle(len(n), func(i, j int) { n[i], n[j] = n[j], n[i] })
	for _, r := range n {
		if r == m.Name {
			continue
		}
		if len(out) == relayCount {
			break
		}
		msg := g.message(wire.PingReq, m.probe.seq)
		msg.Target = m.Name
		out = append(out, Send{r, msg})
	}
	return out
}

// suspect changes the status of a member that missed a heartbeat. One that is leaving
// is marked dead immediately, as no flow depends on it.
func (g *Group) suspect(now time.Duration, m *member) {
	switch m.Status {
	case wire.Alive, wire.Starting:
		g.setPeerStatus(now, m, wire.Suspect)
	case wire.Leaving:
		g.setPeerStatus(now, m, wire.Dead)
	}
}

// setPeerStatus changes the status of another member and sends the change to the group.
func (g *Group) setPeerStatus(now time.Duration, m *member, s wire.Status) {
	r := m.Record
	r.Status = s
	g.replace(now, m, r)
	g.urgent = true
}
