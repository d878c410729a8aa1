// Package converge distributes the versions of catalogue entries to all balancers.
// Each member that accepts new versions pushes them to a few others; digests on
// heartbeats reveal missed versions, which are then pulled. The package does no I/O.
package converge

import (
	"math/rand/v2"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/wire"
)

const (
	fanout       = 3                      // members to which new versions are pushed
	pullInterval = 300 * time.Millisecond // minimum time between two pulls
	// maxPush limits the total text of the versions in one message, in bytes.
	maxPush = 1 << 20
)

// Send is a message with the name of the member to send it to.
type Send struct {
	To  string
	Msg *wire.Message
}

// Counts are totals since the start of the process.
type Counts struct {
	Accepted, Stale, Invalid, Pulls uint64
}

// Catalogue holds one member's versions of all catalogue entries and the state of their
// distribution.
type Catalogue struct {
	self         string
	versions     *catalogue.Versions
	random       *rand.Rand
	lastPull     time.Duration
	pulled       bool
	nextPullFull bool // a pull without the index of every entry was sent since the digests were last equal
	Count        Counts
}

// New returns an empty catalogue for the member self.
func New(self string, randomSeed uint64) *Catalogue {
	return &Catalogue{
		self:     self,
		versions: catalogue.NewVersions(),
		random:   rand.New(rand.NewPCG(randomSeed, 11)),
	}
}

// Versions returns the versions in force.
func (c *Catalogue) Versions() *catalogue.Versions { return c.versions }

// Accept applies versions that arrived from the store or from the member from. It
// returns the messages that push newer versions than the known ones to peers, whether
// any version was newer, and the errors of invalid entries. Invalid versions are pushed
// too, but the last valid version of the entry stays in force.
func (c *Catalogue) Accept(vs []catalogue.Version, from string, peers []string) (out []Send, changed bool, errs []error) {
	var newer []catalogue.Version
	for _, v := range vs {
		o, err := c.versions.Apply(v)
		c.countOutcome(o)
		if err != nil {
			errs = append(errs, err)
		}
		if o != catalogue.Stale {
			newer = append(newer, v)
		}
	}
	if len(newer) == 0 {
		return nil, false, errs
	}
	return c.push(newer, from, peers), true, errs
}

func (c *Catalogue) countOutcome(o catalogue.Outcome) {
	switch o {
	case catalogue.Accepted:
		c.Count.Accepted++
	case catalogue.Stale:
		c.Count.Stale++
	case catalogue.Invalid:
		c.Count.Invalid++
	}
}

// push returns the messages with the newer versions to fanout random peers.
func (c *Catalogue) push(newer []catalogue.Version, except string, peers []string) []Send {
	var to []string
	for _, p := range peers {
		if p != except && p != c.self {
			to = append(to, p)
		}
	}
	c.random.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	var out []Send
	for i := 0; i < len(to) && i < fanout; i++ {
		for _, part := range split(newer) {
			out = append(out, Send{to[i], c.message(wire.Push, part)})
		}
	}
	return out
}

func (c *Catalogue) message(k wire.Kind, vs []catalogue.Version) *wire.Message {
	return &wire.Message{Kind: k, From: c.self, Digest: c.versions.Digest(), High: c.versions.High(), Versions: vs}
}

// split divides versions into messages of at most maxPush. A larger version gets a
// message of its own.
func split(vs []catalogue.Version) [][]catalogue.Version {
	var out [][]catalogue.Version
	size, from := 0, 0
	for i, v := range vs {
		if size > 0 && size+len(v.Text) > maxPush {
			out = append(out, vs[from:i])
			size, from = 0, i
		}
		size += len(v.Text)
	}
	return append(out, vs[from:])
}

// Stamp adds the digest and the highest index of the catalogue to a heartbeat.
func (c *Catalogue) Stamp(m *wire.Message) {
	m.Digest = c.versions.Digest()
	m.High = c.versions.High()
}

// Compare returns the pull to send if the digest of a heartbeat differs. It asks only for
// versions above the own highest index if the peer's is higher and no such pull was sent
// since the digests were last equal. Any other pull contains the index of every entry.
func (c *Catalogue) Compare(now time.Duration, m *wire.Message) []Send {
	if m.Digest == c.versions.Digest() || m.High == 0 {
		c.nextPullFull = false
		return nil
	}
	if c.pulled && now-c.lastPull < pullInterval {
		return nil
	}
	c.pulled, c.lastPull = true, now
	c.Count.Pulls++
	msg := c.message(wire.Pull, nil)
	if m.High > c.versions.High() && !c.nextPullFull {
		msg.Above = max(c.versions.High(), 1)
		c.nextPullFull = true
		return []Send{{m.From, msg}}
	}
	msg.Full = true
	msg.Have = c.Have()
	return []Send{{m.From, msg}}
}

// Have returns the index of every entry, for a full Pull.
func (c *Catalogue) Have() map[string]uint64 {
	have := map[string]uint64{}
	for _, v := range c.versions.All() {
		have[v.Name] = v.Index
	}
	return have
}

// Answer returns the messages with the versions that a Pull asks for.
func (c *Catalogue) Answer(m *wire.Message) []Send {
	var vs []catalogue.Version
	for _, v := range c.versions.All() {
		if m.Full && v.Index > m.Have[v.Name] || !m.Full && v.Index > m.Above {
			vs = append(vs, v)
		}
	}
	if len(vs) == 0 {
		return nil
	}
	var out []Send
	for _, part := range split(vs) {
		out = append(out, Send{m.From, c.message(wire.Push, part)})
	}
	return out
}

// VersionsFromListing converts a complete listing of a part of the store, taken at
// index, to versions. Known entries of that part that are missing from the listing are
// returned as deleted, but only if the listing is newer than the entry and not older than
// any known version of the part: in a store that was restored from a backup, a missing
// entry need not have been deleted.
func (c *Catalogue) VersionsFromListing(index uint64, entries []catalogue.Version, part func(name string) bool) []catalogue.Version {
	listed := map[string]bool{}
	for _, v := range entries {
		listed[v.Name] = true
	}
	var known []catalogue.Version
	for _, v := range c.versions.All() {
		if !part(v.Name) {
			continue
		}
		if index < v.Index {
			return entries
		}
		known = append(known, v)
	}
	for _, v := range known {
		if !listed[v.Name] && !v.Deleted() && index > v.Index {
			entries = append(entries, catalogue.Version{Name: v.Name, Index: index})
		}
	}
	return entries
}
