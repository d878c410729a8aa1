// Package member maintains rosedaled's list of balancers. Each member sends
// heartbeats to a bounded set of neighbours and attaches changes of the list to
// them, so that its cost does not grow with the fleet. The protocol follows SWIM
// (Das et al. 2002), with a fixed neighbourhood in place of uniformly random
// peers, which also bounds the number of connections. The package does no I/O: it
// takes messages and the time, and returns the messages to send.
package member

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"rosedale.dev/rosedale/internal/rendezvous"
	"rosedale.dev/rosedale/internal/wire"
)

// Settings are the times of the protocol. Zero values stand for the defaults.
type Settings struct {
	Period         time.Duration // between two heartbeats that a member sends
	AckTimeout     time.Duration // time without an answer after which other members are asked to ping
	SuspectTimeout time.Duration // between the suspicion of a member and marking it dead
	RejoinPeriod   time.Duration // between two pings of dead members
	Retention      time.Duration // how long records of dead and left members are kept
}

// Defaults returns s with defaults in place of zero values.
func (s Settings) Defaults() Settings {
	setDefault := func(p *time.Duration, v time.Duration) {
		if *p == 0 {
			*p = v
		}
	}
	setDefault(&s.Period, 500*time.Millisecond)
	setDefault(&s.AckTimeout, 250*time.Millisecond)
	setDefault(&s.SuspectTimeout, 1500*time.Millisecond)
	setDefault(&s.RejoinPeriod, 2*time.Second)
	setDefault(&s.Retention, 2*time.Hour)
	return s
}

const (
	successors       = 8                // members that follow on the ring and are pinged
	longLinkCount    = 2                // random members beyond the successors, which shorten paths through the group
	relayCount       = 2                // members that are asked to ping one that does not answer
	maxUpdates       = 8                // queued records attached to one message
	fanout           = 3                // members to which an urgent change is sent immediately
	longLinkLifetime = 30 * time.Second // after which other long links are chosen
)

// Send is a message with the name of the member to send it to.
type Send struct {
	To  string
	Msg *wire.Message
}

// member is a record with local state.
type member struct {
	wire.Record
	hash        uint64        // of the name; position on the ring
	statusSince time.Duration // time of the last change of status
	probe       probeState
}

// probeState is the state of the oldest unanswered heartbeat to a member.
type probeState struct {
	seq     uint32
	sentAt  time.Duration
	waiting bool
	relayed bool // other members were asked to ping
}

// update is a member's record that is attached to outgoing messages.
type update struct {
	name      string
	remaining int // number of further messages that carry it
}

// Group is one member's view of the member list. It is not safe for concurrent use.
type Group struct {
	settings          Settings
	random            *rand.Rand
	self              *member
	members           map[string]*member
	byName            []*member // all members, sorted by name
	queue             []update  // records to attach to the next messages
	digest            uint64    // see Digest
	seq               uint32    // sequence number of the last ping
	nextNeighbour     int       // index in the neighbourhood, modulo its length
	longLinks         []string  // names; see chooseLongLinks
	longLinksChosenAt time.Duration
	nextPing          time.Duration           // when the next ping is due
	nextRejoin        time.Duration           // when the next ping of a dead member is due
	resumedAt         time.Duration           // when a pause was noticed; zero once caught up
	resumedSeq        uint32                  // sequence number of the last ping before resumedAt
	urgent            bool                    // a change has to be sent before the next heartbeat
	pendingRelays     map[uint32]relayRequest // by the sequence number of our ping
	changed           bool                    // see Changed
}

// relayRequest is another member's request to ping a third one.
type relayRequest struct {
	to  string // the requesting member, which gets the answer
	seq uint32 // sequence number of the request
}

// New returns a group that contains only self and the seeds. Seeds may be dead or
// not exist; they are pinged until they answer.
func New(settings Settings, self wire.Record, seeds []wire.Record, randomSeed uint64) *Group {
	g := &Group{
		settings:      settings.Defaults(),
		random:        rand.New(rand.NewPCG(randomSeed, randomSeed>>7)),
		members:       map[string]*member{},
		pendingRelays: map[uint32]relayRequest{},
		changed:       true,
	}
	g.self = g.add(self)
	for _, s := range seeds {
		g.AddSeed(s)
	}
	g.queueUpdate(self.Name)
	return g
}

// AddSeed adds a member whose address comes from the settings or from the platform's
// list. It counts as dead until any member sends a record of it.
func (g *Group) AddSeed(r wire.Record) {
	if g.members[r.Name] != nil {
		return
	}
	r.Incarnation = 0
	r.Status = wire.Dead
	g.add(r)
}

func (g *Group) add(r wire.Record) *member {
	m := &member{Record: r, hash: rendezvous.Seed(r.Name)}
	g.members[r.Name] = m
	i, _ := slices.BinarySearchFunc(g.byName, r.Name, func(m *member, n string) int { return strings.Compare(m.Name, n) })
	g.byName = slices.Insert(g.byName, i, m)
	g.digest ^= recordHash(r)
	return m
}

func recordHash(r wire.Record) uint64 {
	if r.Incarnation == 0 {
		return 0 // a seed that never answered
	}
	return rendezvous.Score(rendezvous.Seed(r.Name)^r.Incarnation, uint64(r.Status))
}

// Self returns this member's record.
func (g *Group) Self() wire.Record { return g.self.Record }

// Digest returns a hash of the list, which is equal at members with the same list.
func (g *Group) Digest() uint64 { return g.digest }

// Members returns all records, sorted by name.
func (g *Group) Members() []wire.Record {
	out := make([]wire.Record, 0, len(g.byName))
	for _, m := range g.byName {
		out = append(out, m.Record)
	}
	return out
}

// Len returns the number of records.
func (g *Group) Len() int { return len(g.members) }

// Get returns the record of a member.
func (g *Group) Get(name string) (wire.Record, bool) {
	m := g.members[name]
	if m == nil {
		return wire.Record{}, false
	}
	return m.Record, true
}

// Changed reports whether the list changed since the last call.
func (g *Group) Changed() bool {
	c := g.changed
	g.changed = false
	return c
}

// SetStatus changes this member's own status and sends the change to other members.
func (g *Group) SetStatus(now time.Duration, s wire.Status) {
	if g.self.Status == s {
		return
	}
	r := g.self.Record
	r.Status = s
	r.Incarnation++
	g.replace(now, g.self, r)
	g.urgent = true
}

// replace puts r in place of the record of m and queues it for the next messages.
func (g *Group) replace(now time.Duration, m *member, r wire.Record) {
	g.digest ^= recordHash(m.Record) ^ recordHash(r)
	if m.Status != r.Status {
		m.statusSince = now
	}
	m.Record = r
	g.changed = true
	g.queueUpdate(r.Name)
}

// queueUpdate attaches a member's record to the next messages. Their number is about
// three times the binary logarithm of the list's length, enough to reach every member.
func (g *Group) queueUpdate(name string) {
	n := 3 * (bits.Len(uint(len(g.members))) + 1)
	for i := range g.queue {
		if g.queue[i].name == name {
			g.queue[i].remaining = n
			return
		}
	}
	g.queue = append(g.queue, update{name, n})
}

// takeUpdates returns the records to attach to a message, first those that were attached
// to the fewest messages.
func (g *Group) takeUpdates() []wire.Record {
	sort.SliceStable(g.queue, func(i, j int) bool { return g.queue[i].remaining > g.queue[j].remaining })
	var out []wire.Record
	keep := g.queue[:0]
	for _, u := range g.queue {
		if len(out) < maxUpdates {
			out = append(out, g.members[u.name].Record)
			u.remaining--
		}
		if u.remaining > 0 {
			keep = append(keep, u)
		}
	}
	g.queue = keep
	return out
}

func reachable(s wire.Status) bool { return s >= wire.Starting && s <= wire.Leaving }

// Reachable reports whether the member of a record is expected to answer.
func Reachable(r wire.Record) bool { return r.Incarnation > 0 && reachable(r.Status) }

// Serving reports whether the member of a record can be the home of flows. A suspect
// can't: if it is dead, openings that it owns would have to wait. A home that was
// suspected wrongly hands its flows over and gets them back after refuting the
// suspicion.
func Serving(r wire.Record) bool {
	return r.Incarnation > 0 && r.Status == wire.Alive
}
